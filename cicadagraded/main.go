// Command cicadagraded is the daemon of the query tier. It runs on each entry VM, accepts
// callers' requests, and answers them by querying the backend servers.
package main

import "os"

func main() { os.Exit(execute()) }
