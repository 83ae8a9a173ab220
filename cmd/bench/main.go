// Command bench runs experiments with real instances against the stand-ins and
// compares them with the naive version on the same seed and load.
package main

import "os"

func main() {
	os.Exit(NewApp(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
