package opcli

import (
	"fmt"
	"io"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
)

// failure is a problem together with the exit code that tells it.
type failure struct {
	Exit    int
	Problem admapi.Problem
}

// Error returns the problem's message.
func (f *failure) Error() string { return f.Problem.Error() }

// print writes the problem for people, faults first.
func (f *failure) print(w io.Writer) {
	for _, fault := range f.Problem.Faults {
		_, _ = fmt.Fprintln(w, conf.Fault(fault))
	}
	_, _ = fmt.Fprintln(w, "error: "+f.Problem.Message)
	if f.Problem.Next != "" {
		_, _ = fmt.Fprintln(w, "next: "+f.Problem.Next)
	}
}

// badInput returns a failure that the operator's input caused.
func badInput(message, next string) error {
	return &failure{Exit: ExitBadInput, Problem: admapi.Problem{Code: admapi.CodeBadInput, Message: message, Next: next}}
}

// conflict returns the failure that a newer revision stands.
func conflict(base, newer int64) error {
	return &failure{Exit: ExitConflict, Problem: admapi.Problem{
		Code:          admapi.CodeConflict,
		Message:       fmt.Sprintf("revision %d is not the newest; revision %d stands", base, newer),
		Next:          fmt.Sprintf("repeat your edit on the text of revision %d and apply it with -base %d", newer, newer),
		NewerRevision: newer,
	}}
}

// faulty returns the failure that a file has faults.
func faulty(file string, faults []conf.Fault) error {
	p := admapi.Problem{
		Code:    admapi.CodeFaults,
		Message: fmt.Sprintf("%s has %d faults", file, len(faults)),
		Next:    "mend them and check the file again",
	}
	for _, f := range faults {
		p.Faults = append(p.Faults, admapi.Fault(f))
	}
	return &failure{Exit: ExitBadInput, Problem: p}
}

// exitOf returns the exit code for an instance's refusal.
func exitOf(c admapi.Code) int {
	switch c {
	case admapi.CodeBadInput, admapi.CodeFaults, admapi.CodeNotFound:
		return ExitBadInput
	case admapi.CodeConflict:
		return ExitConflict
	case admapi.CodeUnauthorised:
		return ExitUnauthorised
	case admapi.CodeUnavailable:
		return ExitNotReachable
	default:
		return ExitFailed
	}
}

// nextOf returns what to do where an instance doesn't say.
func nextOf(c admapi.Code) string {
	switch c {
	case admapi.CodeBadInput:
		return "correct the arguments; buckthorntide without any lists them"
	case admapi.CodeUnauthorised:
		return "give an admin key that was not withdrawn, as " + EnvAdminKey + " or -key"
	case admapi.CodeConflict:
		return "fetch the newer revision, repeat your edit on it, and apply it"
	case admapi.CodeUnavailable:
		return "nothing was changed; try again once status shows the store as reachable"
	case admapi.CodeUnknown:
		return "ask another instance what stands before you repeat the command"
	case admapi.CodeNotFound:
		return "check the name with status or keys list"
	default:
		return ""
	}
}
