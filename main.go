// Command buckthorntide schedules agent programs over model engines and plain
// services. Every instance runs the same program.
package main

import (
	"os"

	"github.com/buckthorntide/buckthorntide/boot"
)

func main() {
	os.Exit(boot.NewApp(os.Stdout, os.Stderr, os.Getenv).Run(os.Args[1:]))
}
