// Command standin simulates what surrounds the query tier: the platform's store, the
// backend servers and the callers. It also generates load and measures the tier. It is
// for tests and measurements only.
package main

import "os"

func main() { os.Exit(execute()) }
