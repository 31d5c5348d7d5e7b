// Command cicadagrade is the command line of operators and callers: it shows
// and changes the configuration, asks searches and makes bookings.
package main

import "os"

func main() { os.Exit(execute()) }
