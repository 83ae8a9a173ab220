package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseText checks that a text is either refused with faults at lines of the
// input, or unchanged by encoding and parsing it again.
func FuzzParseText(f *testing.F) {
	f.Add([]byte(goodText))
	f.Add([]byte(`{"services": [{"name": "a", "dependsOn": ["a"]}]}`))
	f.Add([]byte("[[{\"\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		text, err := ParseText(source)
		if err != nil {
			assert.DeepEqual(t, text, Text{})
			checkFaultLines(t, source, err)
			return
		}
		assert.NilError(t, text.Check())
		written, err := json.Marshal(text)
		assert.NilError(t, err)
		again, err := ParseText(written)
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(text, again)), 0)
	})
}

func checkFaultLines(t *testing.T, source []byte, err error) {
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Assert(t, len(faults.Faults) > 0)
	lines := strings.Count(string(source), "\n") + 1
	for _, fault := range faults.Faults {
		assert.Assert(t, fault.Line >= 1 && fault.Line <= lines, "line %d of %d", fault.Line, lines)
	}
}

// FuzzEditDomain checks that taking a domain out of service and bringing it back
// restores an equal text.
func FuzzEditDomain(f *testing.F) {
	f.Add([]byte(goodText), "a")
	f.Add([]byte(`{"failureDomains": ["\u00e9", "~/"], "domainsOut": null}`), "~/")
	f.Fuzz(func(t *testing.T, source []byte, name string) {
		before, err := ParseText(source)
		if err != nil || before.DomainOut(name) {
			return
		}
		out, _, err := EditDomain(source, name, true)
		if errors.Is(err, ErrUnknownDomain) {
			return
		}
		assert.NilError(t, err)
		in, _, err := EditDomain(out, name, false)
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(before, mustParse(t, string(in)))), 0)
	})
}

// FuzzParseSettings checks that settings are either refused with faults or
// unchanged by encoding and parsing them again.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"seatTTL": "1m", "logLevel": "warn"}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		s, err := ParseSettings(source)
		if err != nil {
			assert.DeepEqual(t, s, Settings{})
			checkFaultLines(t, source, err)
			return
		}
		written, err := json.Marshal(s)
		assert.NilError(t, err)
		again, err := ParseSettings(written)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(s, again))
	})
}

// FuzzReadAccepted checks that parseAccepted returns the same texts and faults as
// ParseText.
func FuzzReadAccepted(f *testing.F) {
	f.Add([]byte(goodText))
	f.Add([]byte("// a \"b\n{/* , */ \"teams\": [ /* ] */ ], } // c"))
	f.Add([]byte(`{"teams": [{"name": "\"//x\\", "ratePerSecond": 1, "burst": 1}, /**/ ],}`))
	f.Add([]byte(`{"teams": [] /*/ " */}`))
	f.Add([]byte(`{"teems": []}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		want, wantErr := ParseText(source)
		got, err := parseAccepted(source)
		if wantErr == nil {
			assert.NilError(t, err)
			assert.Assert(t, json.Valid(plainJSON(source)), "got %q", plainJSON(source))
			assert.Assert(t, reflect.DeepEqual(got, want), "got %v, want %v", got, want)
		}
		if err != nil {
			assert.Error(t, err, wantErr.Error())
		}
	})
}

// BenchmarkRead measures parsing texts of several sizes, as proposed by an operator
// and as accepted by an instance.
func BenchmarkRead(b *testing.B) {
	readers := []struct {
		name string
		read func([]byte) (Text, error)
	}{{"proposed", ParseText}, {"accepted", parseAccepted}}
	for _, r := range readers {
		for _, teams := range []int{8, 4_300, 43_000} {
			source := []byte(manyTeams(teams))
			b.Run(fmt.Sprintf("%s/teams=%d", r.name, teams), func(b *testing.B) {
				b.SetBytes(int64(len(source)))
				for b.Loop() {
					_, err := r.read(source)
					assert.NilError(b, err)
				}
			})
		}
	}
}

// manyTeams returns a text with n teams.
func manyTeams(n int) string {
	var s strings.Builder
	s.WriteString(`{"teams": [`)
	for i := range n {
		fmt.Fprintf(&s, "{\"name\": \"team-%d\", \"ratePerSecond\": 10, \"burst\": 20},\n", i)
	}
	s.WriteString("]}")
	return s.String()
}
