// Package gate takes callers' requests, decides on each one and passes it on
// to an upstream.
package gate

import (
	"net/http"
	"time"
)

type (
	// Part is one part of a prompt, which requests share by its ID.
	Part struct {
		ID     string
		Tokens int
	}

	// Call is one request of a caller, as read from the wire.
	Call struct {
		// ID names the request. Each try of a caller has one of its own.
		ID     string
		Method string
		Host   string
		// Path and Query are as the caller wrote them, escapes included.
		Path  string
		Query string
		// Header holds the fields that may be passed on.
		Header http.Header
		// Patience is how long the caller waits for the answer; 0 is unknown.
		Patience time.Duration
		// Key is the caller's key, empty where none was sent.
		Key string
		// Object names what the request concerns; equal objects run faster at
		// the same upstream.
		Object string
		// Program is the agent program that the request belongs to.
		Program string
		// Line is one line of turns within the program.
		Line string
		// ProgramLeft is the time until the program should be finished; 0 is
		// unknown.
		ProgramLeft time.Duration
		// Budget is how many tokens the program may generate; HasBudget tells
		// whether there is one.
		Budget    int
		HasBudget bool
		// PromptTokens is the size of the prompt, MaxTokens the most that the
		// request may generate.
		PromptTokens int
		MaxTokens    int
		// Parts are the prompt's parts in order.
		Parts []Part
		// PreviousTurn is the ID of the turn that this one continues.
		PreviousTurn string
		// LastEvent is the last event that the caller has; a stream goes on
		// after it.
		LastEvent string
	}

	// Onward is what the system says to an upstream beside the caller's fields.
	Onward struct {
		// Upstream is the only upstream that may run the request.
		Upstream string
		// Team is who the request runs for; empty on public routes.
		Team string
		// Left is how long the answer is waited for; 0 is unknown.
		Left time.Duration
		// LastEvent goes before the caller's.
		LastEvent string
		// Priority is the rank from 0 (first) to 9; negative leaves it out.
		Priority int
	}

	// Answer is what an upstream's response head tells.
	Answer struct {
		Status int
		// RequestID is the request that the response says it answers.
		RequestID string
		// NotRun says that the upstream did not run the request.
		NotRun bool
		// WrongUpstream says that another upstream has the address.
		WrongUpstream bool
		// HasLoad tells whether the next three are set.
		HasLoad bool
		Running int
		Waiting int
		Slots   int
	}

	// Codec translates between the wire and the types above.
	Codec interface {
		// ReadCall reads the head of a caller's request. The body stays unread.
		ReadCall(r *http.Request) Call
		// WriteCall returns the header fields of the request to an upstream.
		WriteCall(call *Call, onward Onward) http.Header
		// ReadAnswer reads the head of an upstream's response.
		ReadAnswer(r *http.Response) Answer
		// WriteAnswer copies an upstream's header fields to the caller's.
		WriteAnswer(to http.Header, from http.Header)
		// WriteRefusal sets the fields of an answer of the system's own.
		WriteRefusal(to http.Header, callID string, retryAfter time.Duration)
	}
)
