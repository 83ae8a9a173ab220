package calls

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// errDiverged means that the answer of a new attempt doesn't start with the text
// that the caller has already received.
const errDiverged = errors.ConstError("answer differs from the text already delivered")

type (
	// splice continues a partly delivered answer with that of a new attempt:
	// it drops the text that the caller has already received. It handles only
	// text; once a tool call fragment is delivered, no other attempt can
	// follow.
	splice struct {
		// delivered is the text that the caller has received.
		delivered string
		// prefix is the text with which the current attempt must start.
		prefix string
		// final is set if no other attempt can follow.
		final bool
	}

	textChunk struct {
		Object  string       `json:"object"`
		Choices []textChoice `json:"choices"`
	}

	textChoice struct {
		Index int       `json:"index"`
		Delta textDelta `json:"delta"`
	}

	textDelta struct {
		Content string `json:"content"`
	}
)

// canRetry reports whether another attempt may follow.
func (s *splice) canRetry() bool { return !s.final }

// nextAttempt prepares for a new attempt: it must repeat the delivered text.
func (s *splice) nextAttempt() { s.prefix = s.delivered }

// undelivered returns the part of a chunk that the caller hasn't received, or
// nil. The answer already includes the chunk; textBefore is its text without it.
func (s *splice) undelivered(textBefore string, answer *Answer, chunk []byte) ([]byte, error) {
	text := answer.Text()
	switch {
	case len(textBefore) >= len(s.prefix):
		s.delivered = text
		s.final = s.final || len(answer.tools) > 0
		return chunk, nil
	case len(text) <= len(s.prefix):
		return nil, s.checkPrefix(strings.HasPrefix(s.prefix, text))
	default:
		if err := s.checkPrefix(strings.HasPrefix(text, s.prefix)); err != nil {
			return nil, err
		}
		s.delivered = text
		return json.Marshal(textChunk{
			Object:  "chat.completion.chunk",
			Choices: []textChoice{{Delta: textDelta{Content: text[len(s.prefix):]}}},
		})
	}
}

func (s *splice) checkPrefix(matches bool) error {
	if matches {
		return nil
	}
	s.final = true
	return errDiverged
}
