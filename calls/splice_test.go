package calls

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// TestSplice breaks an attempt off and joins the next one to it.
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
		{"other borders", []string{"one ", "tw"}, []string{"one two ", "three"}, "one two three", nil},
		{"shorter chunks", []string{"one two "}, []string{"o", "ne ", "two ", "th", "ree"}, "one two three", nil},
		{"another answer", []string{"one "}, []string{"two "}, "one ", errDiverged},
		{"another answer later", []string{"one "}, []string{"one", "-two"}, "one ", errDiverged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s splice
			got, err := relayAll(&s, tt.first)
			assert.NilError(t, err)
			s.restart()
			more, err := relayAll(&s, tt.second)
			assert.Equal(t, errors.Is(err, errDiverged), tt.err != nil, "%v", err)
			assert.Equal(t, got+more, tt.want)
			assert.Equal(t, s.possible(), tt.err == nil)
		})
	}
}

// TestNoSpliceAfterAToolCall lets no attempt follow a piece of a tool call.
func TestNoSpliceAfterAToolCall(t *testing.T) {
	var (
		s splice
		a Answer
	)
	chunk := []byte(`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{"}}]}}]}`)
	a.Add(chunk)
	_, err := s.pass("", &a, chunk)
	assert.NilError(t, err)
	assert.Assert(t, !s.possible())
}

// relayAll passes an attempt's chunks and returns the text that the caller got.
func relayAll(s *splice, texts []string) (string, error) {
	var (
		attempt   Answer
		delivered Answer
	)
	for _, text := range texts {
		chunk := fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, text)
		before := attempt.Text()
		attempt.Add(chunk)
		rest, err := s.pass(before, &attempt, chunk)
		if err != nil {
			return delivered.Text(), err
		}
		if rest != nil {
			delivered.Add(rest)
		}
	}
	return delivered.Text(), nil
}
