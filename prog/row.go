package prog

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/conf"
)

type (
	// FamilyRow is the value of a family's row.
	FamilyRow struct {
		Program string      `json:"program"`
		Team    string      `json:"team"`
		Budget  conf.Budget `json:"budget"`
		// OpenedAtMillis is the wall clock time of the home that opened the
		// program, in Unix milliseconds.
		OpenedAtMillis int64 `json:"openedAtMillis"`
		// ElapsedMillis is the program's time up to the commit.
		ElapsedMillis int64 `json:"elapsedMillis"`
		// Spent is the usage of reported calls.
		Spent Usage `json:"spent"`
		// Reserved is the home's spending limit; a new home counts it as
		// spent.
		Reserved Usage `json:"reserved"`
		// Agents are the root program and its sub-agents, the root first.
		Agents []AgentRow `json:"agents"`
		Ended  bool       `json:"ended,omitempty"`
		// Home is the instance that wrote the row.
		Home string `json:"home"`
		// Commit is the request id of the commit that wrote the row.
		Commit string `json:"commit"`
	}

	// AgentRow is one program of a family.
	AgentRow struct {
		Program string `json:"program"`
		// Key is the idempotency key of the opening.
		Key string `json:"key,omitempty"`
		// Turns is the number of turns in the table.
		Turns int `json:"turns"`
		// Head is the digest of the latest turn.
		Head  string `json:"head"`
		Ended bool   `json:"ended,omitempty"`
	}

	// TurnRow is the value of a turn's row.
	TurnRow struct {
		Program string `json:"program"`
		Turn    int    `json:"turn"`
		// Previous is the digest of the previous turn's row.
		Previous string `json:"previous"`
		CallID   string `json:"callId"`
		// RequestDigest is the digest of the caller's request.
		RequestDigest string `json:"requestDigest"`
		Attempt       string `json:"attempt,omitempty"`
		Relay         string `json:"relay"`
		Kind          Kind   `json:"kind"`
		PromptTokens  int64  `json:"promptTokens"`
		AnswerTokens  int64  `json:"answerTokens"`
		Engine        string `json:"engine,omitempty"`
		// Body holds the turn's messages, unless Object names an object that
		// holds them and whose digest is BodyDigest.
		Body       *TurnBody `json:"body,omitempty"`
		Object     string    `json:"object,omitempty"`
		BodyDigest string    `json:"bodyDigest,omitempty"`
	}

	// TurnBody holds the messages that a turn adds to the conversation.
	TurnBody struct {
		Messages []Message `json:"messages,omitempty"`
		Answer   Message   `json:"answer"`
	}
)

// FamilyKey returns the key of a family's row.
func FamilyKey(root string) string { return "program/" + root }

// TurnKey returns the key of a turn's row.
func TurnKey(program string, turn int) string {
	return fmt.Sprintf("%s%s/%08d", turnPrefix(RootOf(program)), program, turn)
}

func turnPrefix(root string) string { return "turn/" + root + "/" }

// FirstDigest returns the Previous digest of a program's first turn. It binds
// the chain to the program, its team and its opening's key.
func FirstDigest(program, team, key string) string {
	return digestOf([]byte("first\x00" + program + "\x00" + team + "\x00" + key))
}

func digestOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// DecodeFamily decodes and validates a family's row.
func DecodeFamily(value []byte) (*FamilyRow, error) {
	var row FamilyRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	if !ValidRoot(row.Program) || len(row.Agents) == 0 {
		return nil, errors.Annotate(ErrRow, "family has no valid root program")
	}
	if row.Agents[0].Program != row.Program {
		return nil, errors.Annotate(ErrRow, "root program is not first")
	}
	return &row, checkAgents(&row)
}

func checkAgents(row *FamilyRow) error {
	seen := make(map[string]struct{}, len(row.Agents))
	for _, a := range row.Agents {
		if _, duplicate := seen[a.Program]; duplicate || RootOf(a.Program) != row.Program {
			return errors.Annotatef(ErrRow, "duplicate or foreign program %q", a.Program)
		}
		if a.Turns < 0 {
			return errors.Annotatef(ErrRow, "negative turn count of %q", a.Program)
		}
		seen[a.Program] = struct{}{}
	}
	return nil
}

// DecodeTurn decodes and validates a turn's row.
func DecodeTurn(value []byte) (*TurnRow, error) {
	var row TurnRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	if !ValidRoot(RootOf(row.Program)) || row.Turn < 1 {
		return nil, errors.Annotate(ErrRow, "turn has no valid program or number")
	}
	if (row.Body == nil) == (row.Object == "") {
		return nil, errors.Annotate(ErrRow, "turn has neither or both of body and object")
	}
	return &row, nil
}

// size returns the approximate number of bytes that the body takes in a row.
func (b *TurnBody) size() int {
	size := len(b.Answer.Body)
	for _, m := range b.Messages {
		size += len(m.Body)
	}
	return base64.StdEncoding.EncodedLen(size)
}

// DecodeBody decodes a body from an object and verifies its digest.
func DecodeBody(body []byte, digest string) (*TurnBody, error) {
	if digestOf(body) != digest {
		return nil, errors.Annotate(ErrChain, "body digest mismatch")
	}
	var b TurnBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, errors.Annotate(ErrRow, err.Error())
	}
	return &b, nil
}

// mustEncode encodes a value of this package; encoding cannot fail for any of
// them.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
