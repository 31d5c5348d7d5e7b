// Command rig2 plays a case of the review against processes of the daemon on loopback. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	program := flag.String("program", "target/cicadagraded", "the daemon")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *program, *record))
}

// play plays a case, "recover", "once" or "mixed".
func play(name, program, record string) int {
	w, err := NewWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE")
	var verdict []string
	var broken bool
	switch name {
	case "recover":
		verdict, broken, err = playRecover(w, program, trouble != "0" && trouble != "final", trouble == "final")
	case "once":
		verdict, broken, err = playOnce(w, program, trouble != "0")
	case "mixed":
		verdict, broken, err = playMixed(w, program, trouble != "0")
	default:
		err = fmt.Errorf("no case %q", name)
	}
	w.End()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range verdict {
		fmt.Println(line)
	}
	if err := w.history.Write(record, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}
