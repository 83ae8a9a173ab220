package prog

import (
	"encoding/json"
	"net/url"

	"github.com/juju/errors"
)

const (
	// IntentPlanned says that the dispatcher may dispatch the call, may have
	// dispatched it, and has not reported yet.
	IntentPlanned IntentState = "planned"
	// IntentNotRun says that the dispatcher surely did not dispatch the call.
	IntentNotRun IntentState = "notRun"
	// IntentDone says that the call ran and that its answer is stored.
	IntentDone IntentState = "done"
	// IntentUnknown says that the call was dispatched and its answer was not
	// received.
	IntentUnknown IntentState = "unknown"
)

type (
	// IntentState is how far a call that may not be repeated has come.
	IntentState string

	// Dispatcher is one run of an instance.
	Dispatcher struct {
		Instance string `json:"instance"`
		Epoch    string `json:"epoch"`
	}

	// IntentRow is the value of a call's row.
	IntentRow struct {
		State IntentState `json:"state"`
		// Digest is the digest of the caller's request.
		Digest     string     `json:"digest"`
		Dispatcher Dispatcher `json:"dispatcher"`
		// Claim is unique to one try at dispatching the call.
		Claim  string      `json:"claim"`
		Answer *CallAnswer `json:"answer,omitempty"`
		// Object names an object that holds a large answer.
		Object       string `json:"object,omitempty"`
		ObjectDigest string `json:"objectDigest,omitempty"`
	}

	// CallAnswer is what an upstream answered.
	CallAnswer struct {
		Status      int    `json:"status"`
		ContentType string `json:"contentType,omitempty"`
		Body        []byte `json:"body,omitempty"`
	}
)

// IntentKey returns the key of a call's row.
func IntentKey(team, service, key string) string {
	return "call/" + url.PathEscape(team) + "/" + url.PathEscape(service) + "/" + url.PathEscape(key)
}

// DecodeIntent reads a call's row and checks its form.
func DecodeIntent(value []byte) (*IntentRow, error) {
	var row IntentRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	switch row.State {
	case IntentPlanned, IntentNotRun, IntentUnknown:
		return &row, nil
	case IntentDone:
		if row.Answer == nil && row.Object == "" {
			return nil, errors.Annotate(ErrRow, "no answer")
		}
		return &row, nil
	default:
		return nil, errors.Annotatef(ErrRow, "state %q", row.State)
	}
}

func decodeAnswer(body []byte, digest string) (*CallAnswer, error) {
	if digestOf(body) != digest {
		return nil, errors.Annotate(ErrChain, "answer has another digest")
	}
	var answer CallAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	return &answer, nil
}
