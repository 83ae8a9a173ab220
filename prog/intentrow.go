package prog

import (
	"encoding/json"
	"net/url"

	"github.com/juju/errors"
)

const (
	// IntentPlanned means that the dispatcher may have dispatched the call and
	// has recorded no outcome yet.
	IntentPlanned IntentState = "planned"
	// IntentNotRun means that the dispatcher has not dispatched the call.
	IntentNotRun IntentState = "notRun"
	// IntentDone means that the call ran and its answer is stored.
	IntentDone IntentState = "done"
	// IntentUnknown means that the call was dispatched and its answer was not
	// received.
	IntentUnknown IntentState = "unknown"
)

type (
	// IntentState is the state of a call that must run at most once.
	IntentState string

	// Dispatcher identifies one incarnation of an instance.
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
		// Claim is the unique id of one attempt to dispatch the call.
		Claim  string      `json:"claim"`
		Answer *CallAnswer `json:"answer,omitempty"`
		// Object is the name of the object that holds a large answer.
		Object       string `json:"object,omitempty"`
		ObjectDigest string `json:"objectDigest,omitempty"`
	}

	// CallAnswer is an upstream's answer.
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

// DecodeIntent decodes and validates a call's row.
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
			return nil, errors.Annotate(ErrRow, "completed call has no answer")
		}
		return &row, nil
	default:
		return nil, errors.Annotatef(ErrRow, "unknown call state %q", row.State)
	}
}

func decodeAnswer(body []byte, digest string) (*CallAnswer, error) {
	if digestOf(body) != digest {
		return nil, errors.Annotate(ErrChain, "answer digest mismatch")
	}
	var answer CallAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	return &answer, nil
}
