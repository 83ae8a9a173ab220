// Command gen generates docs/Config.md from the doc comments of the structs of the
// settings and of the operators' text.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	out := flag.String("out", "../docs/Config.md", "the file to write")
	source := flag.String("source", ".", "the directory of package conf")
	flag.Parse()
	page, err := Page(*source)
	if err == nil {
		err = os.WriteFile(*out, []byte(page), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
