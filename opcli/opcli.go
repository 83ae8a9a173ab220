// Package opcli is the operators' side of the program: subcommands that call
// the administration API of any instance. It prints tables for people, or JSON
// for programs, and its exit codes tell failures apart.
package opcli

import (
	"io"
	"slices"
)

const (
	// ExitOK says that the command did what was asked for.
	ExitOK = iota
	// ExitFailed says that something failed, perhaps after it took effect.
	ExitFailed
	// ExitBadInput says that the arguments, the file or the names are wrong.
	ExitBadInput
	// ExitConflict says that a newer revision stands.
	ExitConflict
	// ExitNotReachable says that the instance, or the platform behind it, was
	// not reached and that nothing was changed.
	ExitNotReachable
	// ExitUnauthorised says that the instance refused the admin key.
	ExitUnauthorised
)

const (
	// EnvAdmin is the environment variable that stands in for -admin.
	EnvAdmin = "BUCKTHORNTIDE_ADMIN"
	// EnvAdminKey is the environment variable that stands in for -key.
	EnvAdminKey = "BUCKTHORNTIDE_ADMIN_KEY"
)

// command is one subcommand.
type command struct {
	// name is what follows the program's name, such as "keys issue".
	name []string
	// arguments names the arguments for people.
	arguments string
	// summary says in a line what the command does.
	summary string
	// run does it.
	run func(s *session) error
}

// commands lists the subcommands in the order of the help.
func commands() []command {
	return []command{
		{[]string{"check"}, "FILE [-settings | -front | -platform]", "check a text, settings, or a platform's configuration, without an instance", check},
		{[]string{"apply"}, "FILE [-base N] [-dryRun]", "show what a text changes and make it the next revision", apply},
		{[]string{"keys", "issue"}, "-team TEAM [-label LABEL] | -operator", "issue a key and show it once", issueKey},
		{[]string{"keys", "withdraw"}, "ID|KEY [-operator]", "make a key work no more", withdrawKey},
		{[]string{"keys", "list"}, "[-operator]", "list the keys", listKeys},
		{[]string{"domain", "out"}, "NAME", "take a failure domain out", domainOut},
		{[]string{"domain", "in"}, "NAME", "bring a failure domain back", domainIn},
		{[]string{"drain"}, "", "make the instance finish its calls and take no more", drain},
		{[]string{"status"}, "", "show how the instance and what it sees are doing", status},
		{[]string{"dump"}, "", "print the instance's whole state", dump},
	}
}

// IsCommand says that the word starts one of the subcommands.
func IsCommand(word string) bool {
	return slices.ContainsFunc(commands(), func(c command) bool { return c.name[0] == word })
}

// Run runs the subcommand that the arguments name and returns the exit code.
// The function env looks up environment variables.
func Run(args []string, stdout, stderr io.Writer, env func(string) string) int {
	s := &session{stdout: stdout, stderr: stderr}
	c, rest, ok := findCommand(args)
	if !ok {
		printUsage(stderr)
		return ExitBadInput
	}
	err := s.parse(c, rest, env)
	if err == nil {
		err = c.run(s)
	}
	return s.report(err)
}

// findCommand returns the subcommand that the arguments start with, and the
// rest of them.
func findCommand(args []string) (command, []string, bool) {
	for _, c := range commands() {
		n := len(c.name)
		if len(args) >= n && slices.Equal(args[:n], c.name) {
			return c, args[n:], true
		}
	}
	return command{}, nil, false
}
