// Command cicadagrade is the command-line client for operators and callers: it shows and
// changes the configuration, runs searches and makes bookings.
package main

import "os"

func main() { os.Exit(execute()) }
