// Package proxy is a reverse proxy: it authenticates callers' requests, enforces
// quotas and budgets, and forwards admitted requests to upstreams with retries.
package proxy

import (
	"net/http"
	"time"
)

type (
	// Part is one part of a prompt. Prompts that share a prefix have parts with
	// the same IDs.
	Part struct {
		ID     string
		Tokens int
	}

	// Call is one request of a caller, as decoded from the wire.
	Call struct {
		// ID identifies the request. Each retry of a caller has a new one.
		ID     string
		Method string
		Host   string
		// Path and Query are as the caller sent them, with their escapes.
		Path  string
		Query string
		// Header holds the fields that may be forwarded.
		Header http.Header
		// Timeout is the caller's timeout for the answer; 0 means unknown.
		Timeout time.Duration
		// Key is the caller's key, empty where none was sent.
		Key string
		// Object is the affinity key: requests with the same one run faster at the
		// same upstream.
		Object string
		// Program is the agent program that the request belongs to.
		Program string
		// Line identifies one sequence of turns within the program.
		Line string
		// ProgramTimeout is the time until the program's deadline; 0 means unknown.
		ProgramTimeout time.Duration
		// Budget is how many tokens the program may generate, if HasBudget is set.
		Budget    int
		HasBudget bool
		// PromptTokens is the size of the prompt, MaxTokens the maximum that the
		// request may generate.
		PromptTokens int
		MaxTokens    int
		// Parts make up the prompt, in order.
		Parts []Part
		// PreviousTurn is the ID of the turn that this one continues.
		PreviousTurn string
		// LastEvent is the ID of the last event that the caller received; the
		// stream resumes after it.
		LastEvent string
		// Resumes is the ID of the request that brought the stream's first event.
		Resumes string
	}

	// UpstreamFields holds the fields that the proxy adds to a request to an upstream.
	UpstreamFields struct {
		// Upstream is the only upstream that may run the request.
		Upstream string
		// Team is the team that the request runs for; empty on public routes.
		Team string
		// Left is the time until the answer is due; 0 means unknown.
		Left time.Duration
		// LastEvent overrides the caller's.
		LastEvent string
		// Priority ranges from 0 (first) to 9; a negative one is not sent.
		Priority int
	}

	// Answer is the decoded head of an upstream's response.
	Answer struct {
		Status int
		// RequestID is the request that the response belongs to, as reported by
		// the upstream.
		RequestID string
		// NotRun is set if the upstream did not run the request.
		NotRun bool
		// Sealed is set if the answer bears the upstream's seal. A success without one is
		// no answer.
		Sealed bool
		// WrongUpstream is set if another upstream now has the address.
		WrongUpstream bool
		// Leaving is set if the upstream that answered is shutting down.
		Leaving bool
		// HasLoad reports whether Running, Waiting and Slots are set.
		HasLoad bool
		Running int
		Waiting int
		Slots   int
		// Pace is how long work takes on the upstream's machine now, in percent of the
		// usual; 0 means unknown.
		Pace int
	}

	// Codec translates between HTTP headers and the types above.
	Codec interface {
		// ReadCall decodes the head of a caller's request and leaves the body
		// unread.
		ReadCall(r *http.Request) Call
		// WriteCall returns the header of the request to an upstream.
		WriteCall(call *Call, onward UpstreamFields) http.Header
		// ReadAnswer decodes the head of an upstream's response.
		ReadAnswer(r *http.Response) Answer
		// WriteAnswer copies an upstream's header fields to the caller's response.
		WriteAnswer(to http.Header, from http.Header)
		// WriteRefusal sets the header fields of a response that the proxy itself
		// generates.
		WriteRefusal(to http.Header, callID string, retryAfter time.Duration)
	}
)
