package admin

import (
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
)

// problemOf turns the errors of the parts below into what operators are told.
func problemOf(err error) admapi.Problem {
	var (
		problem  admapi.Problem
		faults   *conf.FaultsError
		conflict *conf.ConflictError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &faults):
		return faultsProblem(faults)
	case errors.As(err, &conflict):
		return admapi.Problem{
			Code:          admapi.CodeConflict,
			Message:       conflict.Error(),
			Next:          "read the newer text, make the change there and apply again",
			NewerRevision: conflict.Newer,
		}
	}
	return admapi.Problem{Code: codeOf(err), Message: err.Error(), Next: nextOf(err)}
}

func codeOf(err error) admapi.Code {
	switch {
	case errors.Is(err, conf.ErrUnavailable), errors.Is(err, keys.ErrUnavailable):
		return admapi.CodeUnavailable
	case errors.Is(err, conf.ErrUnknown), errors.Is(err, keys.ErrUnknownOutcome):
		return admapi.CodeUnknown
	case errors.Is(err, conf.ErrUnknownDomain), errors.Is(err, keys.ErrUnknownKey):
		return admapi.CodeNotFound
	case errors.Is(err, keys.ErrMalformed), errors.Is(err, keys.ErrAmbiguous):
		return admapi.CodeBadInput
	default:
		return admapi.CodeInternal
	}
}

func nextOf(err error) string {
	switch codeOf(err) {
	case admapi.CodeUnavailable:
		return "nothing was changed; try again once the platform answers"
	case admapi.CodeUnknown:
		return "read what stands before you try again"
	default:
		return ""
	}
}

func faultsProblem(faults *conf.FaultsError) admapi.Problem {
	p := admapi.Problem{
		Code:    admapi.CodeFaults,
		Message: "the text has faults; nothing of it took effect",
		Next:    "correct the faults and apply again",
	}
	for _, f := range faults.Faults {
		p.Faults = append(p.Faults, admapi.Fault(f))
	}
	return p
}
