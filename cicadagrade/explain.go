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

const explainHelp = `Prints the lines about one request from the logs of one or more VMs, ordered by
time: the result on the entry VM that received it, and on the VMs that ran shares
of it. The logs are read from the files, or from standard input if none is given.
With --around, it also prints the events on these VMs shortly before: changes of
the configuration, of leafs and of the connection to the store.

  cicadagrade explain 9c41d07be2a35f68 entry-1.log entry-2.log
  cat *.log | cicadagrade explain 9c41d07be2a35f68 --around`

// requestField is the log field with the request id.
const requestField = "request"

// maxEventsBefore limits the events before the request that are printed for each VM.
const maxEventsBefore = 8

// logLine is a parsed log line.
type logLine struct {
	time    string
	vm      string
	message string
	request string
	fields  string
}

func explainCommand() *cobra.Command {
	var around bool
	c := &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Show the log lines about a request",
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
	c.Flags().BoolVar(&around, "around", false, "also show events on these VMs shortly before the request")
	return c
}

// readLogs reads all files, or stdin if there are none. It returns their lines and the number
// of lines that could not be parsed.
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
		lines, unparsed, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, errors.Wrapf(err, "readLogs %s", name)
		}
		all, skipped = append(all, lines...), skipped+unparsed
	}
	return all, skipped, nil
}

// readLog reads lines of key=value pairs. It ignores any text before the first "time=", which
// some log collectors add, and returns the number of lines that could not be parsed.
func readLog(r io.Reader) ([]logLine, int, error) {
	const maxLineBytes = 1 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
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
	var fields []string
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
					fields = append(fields, key+"="+value)
				}
			}
		}
	}
	line.fields = strings.Join(fields, " ")
	return line, errors.Wrap(d.Err(), "parseLine")
}

// explain prints the lines of a request, with the events before it if around is set.
func explain(w io.Writer, lines []logLine, skipped int, request string, around bool) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	events := map[string][]logLine{}
	shown := map[string]bool{}
	found := 0
	for _, l := range lines {
		if l.request != request {
			if l.request == "" {
				events[l.vm] = append(events[l.vm], l)
			}
			continue
		}
		found++
		if around && !shown[l.vm] {
			shown[l.vm] = true
			list := events[l.vm]
			for _, b := range list[max(0, len(list)-maxEventsBefore):] {
				fmt.Fprintf(w, "%s %s   (before) %s %s\n", b.time, b.vm, b.message, b.fields)
			}
		}
		fmt.Fprintf(w, "%s %s %s %s\n", l.time, l.vm, l.message, l.fields)
	}
	if skipped > 0 {
		fmt.Fprintf(w, "%d lines were not in the log's format\n", skipped)
	}
	if found == 0 {
		return errors.Errorf("no log line for request %s: requests that succeed in time, with all parts and without "+
			"extra calls, are not logged, nor are those beyond the log's rate limit (see lines-dropped)", request)
	}
	return nil
}
