package opcli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
)

// defaultTimeout bounds one request to an instance.
const defaultTimeout = 15 * time.Second

// noBase is the value of -base when it was not given.
const noBase = -1

// session is one run of a subcommand: its flags, arguments and outputs.
type session struct {
	stdout, stderr io.Writer
	// arguments are what is left after the flags.
	arguments []string

	admin    string
	key      string
	json     bool
	timeout  time.Duration
	base     int64
	dryRun   bool
	settings bool
	front    bool
	platform bool
	team     string
	label    string
	operator bool
}

// flags returns the flag set of a subcommand.
func (s *session) flags(c command, env func(string) string) *flag.FlagSet {
	f := flag.NewFlagSet(strings.Join(c.name, " "), flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.BoolVar(&s.json, "json", false, "print JSON for programs")
	switch c.name[0] {
	case "check":
		f.BoolVar(&s.settings, "settings", false, "check settings in place of a text")
		f.BoolVar(&s.front, "front", false, "check settings of an instance on the operators' platform")
		f.BoolVar(&s.platform, "platform", false, "check a configuration of the operators' platform")
		return f
	case "apply":
		f.Int64Var(&s.base, "base", noBase, "the revision that the text was edited from")
		f.BoolVar(&s.dryRun, "dryRun", false, "show the changes only")
	case "keys":
		f.StringVar(&s.team, "team", "", "the team that the key stands for")
		f.StringVar(&s.label, "label", "", "where the key is used")
		f.BoolVar(&s.operator, "operator", false, "admin keys in place of callers' keys")
	}
	f.StringVar(&s.admin, "admin", env(EnvAdmin), "an instance's administration address, as IP:port")
	f.StringVar(&s.key, "key", env(EnvAdminKey), "an admin key; better given as "+EnvAdminKey)
	f.DurationVar(&s.timeout, "timeout", defaultTimeout, "the most time for one request")
	return f
}

// parse reads flags and arguments in any order.
func (s *session) parse(c command, args []string, env func(string) string) error {
	f := s.flags(c, env)
	for {
		if err := f.Parse(args); err != nil {
			return badInput(err.Error(), usageOf(c))
		}
		if f.NArg() == 0 {
			return s.checkAddress(c)
		}
		s.arguments = append(s.arguments, f.Arg(0))
		args = f.Args()[1:]
	}
}

// checkAddress makes sure that there is an instance to ask.
func (s *session) checkAddress(c command) error {
	if c.name[0] == "check" {
		return nil
	}
	if s.admin == "" {
		return badInput("no instance was named", "give -admin IP:port or set "+EnvAdmin)
	}
	if _, err := netip.ParseAddrPort(s.admin); err != nil {
		return badInput(fmt.Sprintf("%q is not IP:port", s.admin), "give the instance's adminAddress, such as 10.0.0.1:8081")
	}
	return nil
}

// argument returns the only argument.
func (s *session) argument(what string) (string, error) {
	if len(s.arguments) != 1 || s.arguments[0] == "" {
		return "", badInput(fmt.Sprintf("%d arguments were given", len(s.arguments)), "give exactly one: "+what)
	}
	return s.arguments[0], nil
}

// noArgument makes sure that there is none.
func (s *session) noArgument() error {
	if len(s.arguments) == 0 {
		return nil
	}
	return badInput(fmt.Sprintf("unexpected argument %q", s.arguments[0]), "leave it out")
}

// context returns a context that bounds one request.
func (s *session) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.timeout)
}

// line prints a line for people.
func (s *session) line(format string, args ...any) {
	if !s.json {
		_, _ = fmt.Fprintf(s.stdout, format+"\n", args...)
	}
}

// object prints a value for programs.
func (s *session) object(value any) error {
	if !s.json {
		return nil
	}
	return json.NewEncoder(s.stdout).Encode(value)
}

// table prints rows for people under their headings.
func (s *session) table(headings string, rows []string) {
	if s.json {
		return
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, headings)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, r)
	}
	_ = w.Flush()
}

// report prints an error and returns the exit code.
func (s *session) report(err error) int {
	if err == nil {
		return ExitOK
	}
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{Exit: ExitFailed, Problem: admapi.Problem{Code: admapi.CodeInternal, Message: err.Error()}}
	}
	if s.json {
		_ = json.NewEncoder(s.stderr).Encode(admapi.ErrorResponse{Error: f.Problem})
		return f.Exit
	}
	f.print(s.stderr)
	return f.Exit
}

// usageOf returns one command's usage.
func usageOf(c command) string {
	return "usage: buckthorntide " + strings.TrimSpace(strings.Join(c.name, " ")+" "+c.arguments)
}

// printUsage lists the subcommands.
func printUsage(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", usageOf(c), c.summary)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\nAll but check take -admin IP:port (or %s), -key KEY (or %s), -timeout and -json.\n", EnvAdmin, EnvAdminKey)
	_, _ = fmt.Fprintln(w, "Exit codes: 0 ok, 1 failed, 2 bad input, 3 conflict, 4 not reachable, 5 unauthorised.")
}
