// Command standin plays the platform's store and the backend servers, loads
// the tier and measures it. It is for tests and measurements only.
package main

import "os"

func main() { os.Exit(execute()) }
