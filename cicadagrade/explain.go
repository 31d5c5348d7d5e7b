package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const explainHelp = `Prints what the logs of one or more VMs tell of one request, in order of time:
the entry VM's decision, and what VMs say that asked shares of it. Logs are read
from the files, or from standard input without any. With --around it also prints
what changed on these VMs shortly before: configurations, leafs, the store.

  cicadagrade explain 9c41d07be2a35f68 entry-1.log entry-2.log
  cat *.log | cicadagrade explain 9c41d07be2a35f68 --around`

// requestField is the field of a line that names the request.
const requestField = "request"

// aroundLines is how many changes before a request's lines are shown for each VM.
const aroundLines = 8

// logLine is one line of a log.
type logLine struct {
	time    string
	vm      string
	message string
	request string
	rest    string
}

func explainCommand() *cobra.Command {
	var around bool
	c := &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Tell a request's story from the logs of VMs",
		Long:  explainHelp,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, skipped, err := readLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return errors.Wrap(err, "explain")
			}
			return errors.Wrap(explain(c.OutOrStdout(), lines, skipped, args[0], around), "explain")
		},
	}
	c.Flags().BoolVar(&around, "around", false, "show what changed on these VMs shortly before")
	return c
}

func readLogs(stdin io.Reader, files []string) ([]logLine, int, error) {
	if len(files) == 0 {
		lines, skipped, err := readLog(stdin)
		return lines, skipped, errors.Wrap(err, "readLogs")
	}
	var all []logLine
	skipped := 0
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "readLogs")
		}
		lines, bad, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, errors.Wrapf(err, "readLogs %s", name)
		}
		all, skipped = append(all, lines...), skipped+bad
	}
	return all, skipped, nil
}

// readLog reads lines of key=value pairs. What stands before the first
// "time=", as some collectors put it, is passed over; lines without are counted.
func readLog(r io.Reader) ([]logLine, int, error) {
	const longest = 1 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), longest)
	var lines []logLine
	skipped := 0
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.Index(text, "time=")
		if at < 0 {
			skipped++
			continue
		}
		line, err := parseLine(text[at:])
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "readLog")
}

func parseLine(text string) (logLine, error) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	var line logLine
	var rest []string
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "time":
				line.time = value
			case "msg":
				line.message = value
			case "vm":
				line.vm = value
			case "level":
			case requestField:
				line.request = value
			default:
				if value != "" {
					rest = append(rest, key+"="+value)
				}
			}
		}
	}
	line.rest = strings.Join(rest, " ")
	return line, errors.Wrap(d.Err(), "parseLine")
}

// explain prints the lines of a request.
func explain(w io.Writer, lines []logLine, skipped int, request string, around bool) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	before := map[string][]logLine{}
	shown := map[string]bool{}
	found := 0
	for _, l := range lines {
		if l.request != request {
			if l.request == "" {
				before[l.vm] = append(before[l.vm], l)
			}
			continue
		}
		found++
		if around && !shown[l.vm] {
			shown[l.vm] = true
			list := before[l.vm]
			for _, b := range list[max(0, len(list)-aroundLines):] {
				fmt.Fprintf(w, "%s %s   (before) %s %s\n", b.time, b.vm, b.message, b.rest)
			}
		}
		fmt.Fprintf(w, "%s %s %s %s\n", l.time, l.vm, l.message, l.rest)
	}
	if skipped > 0 {
		fmt.Fprintf(w, "%d lines were not in the log's format\n", skipped)
	}
	if found == 0 {
		return errors.Errorf("no line names request %s: requests that are served in time, whole and without "+
			"extra calls leave none, nor do those beyond the log's rate (see lines-dropped)", request)
	}
	return nil
}
