// Command cicadagraded is the daemon of the query tier: it runs on each entry
// VM, takes callers' requests and answers them from the backend servers.
package main

import "os"

func main() { os.Exit(execute()) }
