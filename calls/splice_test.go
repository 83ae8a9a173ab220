package calls

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// TestSplice checks that a second attempt continues an interrupted answer
// without repeating or losing text, whatever its chunk boundaries, and that a
// different answer is rejected.
func TestSplice(t *testing.T) {
	tests := []struct {
		name   string
		first  []string
		second []string
		want   string
		err    error
	}{
		{"nothing was delivered", nil, []string{"one ", "two"}, "one two", nil},
		{"the same chunks", []string{"one ", "two "}, []string{"one ", "two ", "three"}, "one two three", nil},
		{"different chunk boundaries", []string{"one ", "tw"}, []string{"one two ", "three"}, "one two three", nil},
		{"shorter chunks", []string{"one two "}, []string{"o", "ne ", "two ", "th", "ree"}, "one two three", nil},
		{"different answer", []string{"one "}, []string{"two "}, "one ", errDiverged},
		{"different answer after the prefix", []string{"one "}, []string{"one", "-two"}, "one ", errDiverged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s splice
			got, err := relayAll(&s, tt.first)
			assert.NilError(t, err)
			s.nextAttempt()
			more, err := relayAll(&s, tt.second)
			assert.Equal(t, errors.Is(err, errDiverged), tt.err != nil, "%v", err)
			assert.Equal(t, got+more, tt.want)
			assert.Equal(t, s.canRetry(), tt.err == nil)
		})
	}
}

// TestToolCallForbidsRetry checks that no attempt follows once a tool call
// fragment is delivered: splicing handles only text.
func TestToolCallForbidsRetry(t *testing.T) {
	var (
		s splice
		a Answer
	)
	chunk := []byte(`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{"}}]}}]}`)
	a.Add(chunk)
	_, err := s.undelivered("", &a, chunk)
	assert.NilError(t, err)
	assert.Assert(t, !s.canRetry())
}

// relayAll relays an attempt's chunks and returns the text that the caller
// receives.
func relayAll(s *splice, texts []string) (string, error) {
	var (
		attempt   Answer
		delivered Answer
	)
	for _, text := range texts {
		chunk := fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, text)
		textBefore := attempt.Text()
		attempt.Add(chunk)
		data, err := s.undelivered(textBefore, &attempt, chunk)
		if err != nil {
			return delivered.Text(), err
		}
		if data != nil {
			delivered.Add(data)
		}
	}
	return delivered.Text(), nil
}
