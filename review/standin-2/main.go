// Command standin-2 plays the cases of the second review: it starts the program's instances
// as processes, and is itself the store, the engines and the clients.
package main

import (
	"fmt"
	"os"
)

// cases are the cases that have a script, by name.
var cases = make(map[string]func(f *fleet))

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	f := newFleet(os.Args[2], os.Args[3])
	defer func() {
		if cause := recover(); cause != nil {
			f.end(2, fmt.Sprint(cause))
		}
	}()
	play(f)
}
