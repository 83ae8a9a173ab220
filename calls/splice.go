package calls

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// errDiverged says that a new attempt gave another answer than the one whose
// beginning the caller has already.
const errDiverged = errors.ConstError("the answer differs from what was delivered")

type (
	// splice joins the answer of a new attempt to what the caller has of the
	// attempt before: what is the same is left out. It is for text; once a
	// piece of a tool call was delivered, no other attempt can follow.
	splice struct {
		// delivered is the text that the caller has.
		delivered string
		// skip is the part of it that the current attempt must repeat.
		skip string
		// closed says that no other attempt can follow.
		closed bool
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

// possible tells whether another attempt may follow.
func (s *splice) possible() bool { return !s.closed }

// restart begins a new attempt.
func (s *splice) restart() { s.skip = s.delivered }

// pass returns what of a chunk the caller lacks, or nil. The answer holds the
// chunk already; before is its text without it.
func (s *splice) pass(before string, answer *Answer, chunk []byte) ([]byte, error) {
	text := answer.Text()
	switch {
	case len(before) >= len(s.skip):
		s.delivered = text
		s.closed = s.closed || len(answer.tools) > 0
		return chunk, nil
	case len(text) <= len(s.skip):
		return nil, s.check(strings.HasPrefix(s.skip, text))
	default:
		if err := s.check(strings.HasPrefix(text, s.skip)); err != nil {
			return nil, err
		}
		s.delivered = text
		return json.Marshal(textChunk{
			Object:  "chat.completion.chunk",
			Choices: []textChoice{{Delta: textDelta{Content: text[len(s.skip):]}}},
		})
	}
}

func (s *splice) check(same bool) error {
	if same {
		return nil
	}
	s.closed = true
	return errDiverged
}
