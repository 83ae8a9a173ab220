package boot

import (
	"fmt"
	"io"

	"github.com/juju/errors"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

const usage = `usage: buckthorntide COMMAND [flags]

  serve     run an instance
  demo      run stand-ins, three instances and a few programs in one process

%s`

const errUnknownCommand = errors.ConstError("unknown command")

// App is the program: it picks the command that the arguments name.
type App struct {
	out io.Writer
	err io.Writer
	env func(name string) string
}

// NewApp returns an app that writes to the two writers and reads the
// environment by env.
func NewApp(out, err io.Writer, env func(name string) string) *App {
	return &App{out: out, err: err, env: env}
}

// Run runs the command and returns the exit status.
func (a *App) Run(args []string) int {
	if len(args) == 0 {
		_, _ = fmt.Fprintf(a.err, usage, "")
		return exitBadInput
	}
	switch args[0] {
	case "serve":
		return a.serve(args[1:])
	case "demo":
		return a.demo(args[1:])
	default:
		return a.fail(exitBadInput, errUnknownCommand)
	}
}

func (a *App) fail(status int, err error) int {
	_, _ = fmt.Fprintln(a.err, err)
	return status
}
