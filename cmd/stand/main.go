// Command stand runs one stand-in: a platform, a model engine or a plain
// service.
package main

import "os"

func main() {
	os.Exit(NewApp(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
