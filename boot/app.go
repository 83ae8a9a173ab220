package boot

import (
	"fmt"
	"io"

	"github.com/buckthorntide/buckthorntide/opcli"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

const usage = `usage: buckthorntide serve [flags]    run an instance
       buckthorntide front [flags]    run an instance on the operators' platform
       buckthorntide explain [flags]  tell where an instance on that platform would send a request
       buckthorntide demo             run stand-ins, three instances and a few programs

operators' commands:
`

// App runs the subcommand that the arguments name.
type App struct {
	out io.Writer
	err io.Writer
	env func(name string) string
}

// NewApp returns an app that writes its output to out, errors and logs to err,
// and looks up environment variables with env.
func NewApp(out, err io.Writer, env func(name string) string) *App {
	return &App{out: out, err: err, env: env}
}

// Run runs the subcommand and returns the exit status.
func (a *App) Run(args []string) int {
	if len(args) == 0 {
		_, _ = fmt.Fprint(a.err, usage)
		return opcli.Run(args, a.out, a.err, a.env)
	}
	switch args[0] {
	case "serve":
		return a.serve(args[1:])
	case "front":
		return a.front(args[1:])
	case "explain":
		return a.explain(args[1:])
	case "demo":
		return a.demo(args[1:])
	default:
		return opcli.Run(args, a.out, a.err, a.env)
	}
}

func (a *App) fail(status int, err error) int {
	_, _ = fmt.Fprintln(a.err, err)
	return status
}
