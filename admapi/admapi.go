// Package admapi holds the requests and responses of the administration API,
// which every instance serves to operators.
package admapi

import (
	"net/url"
	"time"
)

const (
	// PathText is the operators' text: GET reads it, PUT replaces it.
	PathText = "/admin/v1/text"
	// PathKeys is the list of keys: GET lists, POST issues. DELETE on the path
	// of one key withdraws it.
	PathKeys = "/admin/v1/keys"
	// PathDomains is followed by a failure domain's name; POST takes it out or
	// brings it back.
	PathDomains = "/admin/v1/domains"
	// PathDrain is posted to for a planned stop of the instance.
	PathDrain = "/admin/v1/drain"
	// PathStatus is the instance's short report.
	PathStatus = "/admin/v1/status"
	// PathDump is the instance's whole state.
	PathDump = "/admin/v1/dump"
	// QueryAdmin asks PathKeys, when "true", for the admin keys in place of the
	// callers'.
	QueryAdmin = "admin"
	// MaxBodyBytes is the longest request body that an instance reads.
	MaxBodyBytes = 16 << 20
)

const (
	// CodeBadInput says that the request was not understood.
	CodeBadInput Code = "badInput"
	// CodeFaults says that the text has faults; Problem.Faults lists them.
	CodeFaults Code = "faults"
	// CodeConflict says that a newer revision stands; Problem.NewerRevision
	// names it.
	CodeConflict Code = "conflict"
	// CodeUnauthorised says that the admin key is missing, unknown or
	// withdrawn.
	CodeUnauthorised Code = "unauthorised"
	// CodeNotFound says that the key or the failure domain is not known.
	CodeNotFound Code = "notFound"
	// CodeUnavailable says that the platform was not reached and that nothing
	// was changed.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown says that the change may or may not have taken effect.
	CodeUnknown Code = "unknown"
	// CodeInternal says that the instance failed.
	CodeInternal Code = "internal"
)

type (
	// Code is the kind of a problem, for programs.
	Code string

	// TextResponse answers GET PathText.
	TextResponse struct {
		// Revision is the text's revision; zero means that none was accepted yet.
		Revision int64 `json:"revision"`
		// Text is the text as its writer sent it, comments included.
		Text string `json:"text"`
	}

	// PutTextRequest is the body of PUT PathText.
	PutTextRequest struct {
		// Base is the revision that the text was edited from.
		Base int64 `json:"base"`
		// Text is the new text, JSON with comments.
		Text string `json:"text"`
	}

	// PutTextResponse answers PUT PathText and POST PathDomains.
	PutTextResponse struct {
		// Revision is the revision that is now accepted.
		Revision int64 `json:"revision"`
		// Changes lists what differs from the revision before.
		Changes []Change `json:"changes"`
	}

	// Change is one difference between two revisions.
	Change struct {
		// Subject is what changed, such as "service fitting".
		Subject string `json:"subject"`
		// Message says how it changed.
		Message string `json:"message"`
	}

	// IssueKeyRequest is the body of POST PathKeys.
	IssueKeyRequest struct {
		// Team is the team that the key stands for; it is empty for admin keys.
		Team string `json:"team,omitempty"`
		// Label says for people where the key is used.
		Label string `json:"label,omitempty"`
		// Admin asks for an admin key.
		Admin bool `json:"admin,omitempty"`
	}

	// IssueKeyResponse answers POST PathKeys. The key is shown only here.
	IssueKeyResponse struct {
		Key string `json:"key"`
		ID  string `json:"id"`
	}

	// WithdrawKeyResponse answers DELETE PathKeys/{id}.
	WithdrawKeyResponse struct {
		ID string `json:"id"`
		// Revision is the revision of the keys since which the key is withdrawn.
		Revision int64 `json:"revision"`
	}

	// KeysResponse answers GET PathKeys.
	KeysResponse struct {
		Keys []Key `json:"keys"`
	}

	// Key is one issued key without its secret.
	Key struct {
		ID        string `json:"id"`
		Team      string `json:"team,omitempty"`
		Label     string `json:"label,omitempty"`
		IssuedAt  int64  `json:"issuedAt"`
		Withdrawn bool   `json:"withdrawn"`
	}

	// DomainRequest is the body of POST PathDomains/{name}.
	DomainRequest struct {
		// Out takes the failure domain out; false brings it back.
		Out bool `json:"out"`
	}

	// DrainResponse answers POST PathDrain.
	DrainResponse struct {
		Draining bool `json:"draining"`
		// RunningCalls is how many calls the instance still has to finish.
		RunningCalls int `json:"runningCalls"`
	}

	// StatusResponse answers GET PathStatus.
	StatusResponse struct {
		Instance      string `json:"instance"`
		FailureDomain string `json:"failureDomain"`
		// Ready says that the balancer may send calls.
		Ready bool `json:"ready"`
		// NotReadyReason says why Ready is false.
		NotReadyReason string     `json:"notReadyReason,omitempty"`
		Draining       bool       `json:"draining"`
		StoreReachable bool       `json:"storeReachable"`
		TextRevision   int64      `json:"textRevision"`
		KeysRevision   int64      `json:"keysRevision"`
		DomainsOut     []string   `json:"domainsOut"`
		Seats          int        `json:"seats"`
		Shards         int        `json:"shards"`
		RunningCalls   int        `json:"runningCalls"`
		StartedAt      time.Time  `json:"startedAt"`
		Instances      []Instance `json:"instances"`
		Upstreams      []Upstream `json:"upstreams"`
	}

	// Instance is another instance as this one sees it.
	Instance struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
	}

	// Upstream is an upstream as this instance sees it.
	Upstream struct {
		Name          string `json:"name"`
		Service       string `json:"service"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
		Running       int    `json:"running"`
	}

	// ErrorResponse is the body of every response that is not a success.
	ErrorResponse struct {
		Error Problem `json:"error"`
	}

	// Problem says what went wrong and what to do.
	Problem struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
		// Next says what the operator can do.
		Next string `json:"next"`
		// NewerRevision is set for CodeConflict.
		NewerRevision int64 `json:"newerRevision,omitempty"`
		// Faults is set for CodeFaults.
		Faults []Fault `json:"faults,omitempty"`
	}

	// Fault is one thing that is wrong in a text.
	Fault struct {
		Line    int    `json:"line"`
		Field   string `json:"field"`
		Message string `json:"message"`
	}
)

// KeyPath returns the path of one key.
func KeyPath(id string) string { return PathKeys + "/" + url.PathEscape(id) }

// DomainPath returns the path of one failure domain.
func DomainPath(name string) string { return PathDomains + "/" + url.PathEscape(name) }

// Error returns the message and what to do next.
func (p Problem) Error() string {
	if p.Next == "" {
		return p.Message
	}
	return p.Message + "; " + p.Next
}
