package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
)

// witnessesIn returns the witnesses of each of the instances, which lie in failure domains in
// turn.
func witnessesIn(t *testing.T, instances, domains int) map[string][]string {
	t.Helper()
	entries := make([]roster.Entry, 0, instances)
	for i := range instances {
		entries = append(entries, roster.Entry{
			Name: fmt.Sprint("instance-", i), Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("domain-", i%domains), Start: 1,
		})
	}
	chosen := make(map[string][]string, instances)
	for _, self := range entries {
		r := roster.NewRoster(self)
		r.Replace(entries)
		_, e, err := r.Registration(rows.Row{}, nil)
		assert.NilError(t, err)
		chosen[self.Name] = e.Witnesses
	}
	return chosen
}

// Guards against witnesses that end together with their instance, so that nobody can tell
// what that granted.
func TestWitnessesOutliveTheirInstance(t *testing.T) {
	const quorum, rounds = 3, 200
	tests := []struct {
		name               string
		instances, domains int
		// lost are ended at once, domain is one whose instances all end.
		lost   int
		domain string
		// unknown bounds the share of the lost instances of which nobody can tell.
		unknown float64
	}{
		{name: "one of 8", instances: 8, domains: 4, lost: 1},
		{name: "two of 8", instances: 8, domains: 4, lost: 2},
		{name: "one of 11", instances: 11, domains: 3, lost: 1},
		{name: "two of 11", instances: 11, domains: 3, lost: 2},
		{name: "a failure domain of 11", instances: 11, domains: 3, domain: "domain-1"},
		{name: "one of 295", instances: 295, domains: 3, lost: 1},
		{name: "two of 295", instances: 295, domains: 3, lost: 2},
		// A fifth of the witnesses is lost too: three of five are with a chance of 0.058.
		{name: "a fifth of 295", instances: 295, domains: 3, lost: 59, unknown: 0.08},
		{name: "a failure domain of 295", instances: 295, domains: 3, domain: "domain-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			chosen := witnessesIn(t, tt.instances, tt.domains)
			unknown, all := 0, 0
			for range rounds {
				lost := make(map[string]bool)
				for _, i := range random.Perm(tt.instances)[:tt.lost] {
					lost[fmt.Sprint("instance-", i)] = true
				}
				for i := range tt.instances {
					if tt.domain == fmt.Sprint("domain-", i%tt.domains) {
						lost[fmt.Sprint("instance-", i)] = true
					}
				}
				for name := range lost {
					all++
					if len(chosen[name])-countIn(lost, chosen[name]) < quorum {
						unknown++
					}
				}
			}
			share := float64(unknown) / float64(all)
			t.Logf("%.4f of the lost instances have too few witnesses left", share)
			assert.Assert(t, share <= tt.unknown, "%.4f", share)
		})
	}
}

func countIn(set map[string]bool, names []string) int {
	count := 0
	for _, name := range names {
		if set[name] {
			count++
		}
	}
	return count
}

// Guards against an instance that is the witness of many others and its own.
func TestWitnessesAreSpread(t *testing.T) {
	const instances = 295
	witnessOf := make(map[string]int)
	for self, names := range witnessesIn(t, instances, 3) {
		assert.Assert(t, !slices.Contains(names, self))
		assert.Equal(t, len(names), 5)
		for _, name := range names {
			witnessOf[name]++
		}
	}
	for name, count := range witnessOf {
		assert.Assert(t, count <= 20, "%s is the witness of %d", name, count)
	}
}

// Witnesses are replaced once they are not listed any more, but not for each instance that
// joins.
func TestLacksWitnesses(t *testing.T) {
	tests := []struct {
		name string
		have []string
		set  []roster.Entry
		want bool
	}{
		{name: "alone", want: false},
		{name: "first of several", set: []roster.Entry{{Name: "b"}}, want: true},
		{name: "all of few", have: []string{"b", "c"}, set: []roster.Entry{{Name: "b"}, {Name: "c"}}},
		{name: "one of few has gone", have: []string{"b", "c"}, set: []roster.Entry{{Name: "b"}}, want: true},
		{name: "one is leaving", have: []string{"b", "c"}, set: []roster.Entry{{Name: "b"}, {Name: "c", Leaving: true}}},
		{
			name: "others have joined", have: []string{"b", "c", "d", "e", "f"},
			set: []roster.Entry{{Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}, {Name: "f"}, {Name: "g"}},
		},
		{
			name: "one has been replaced", have: []string{"b", "c", "d", "e", "f"},
			set: []roster.Entry{{Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}, {Name: "g"}}, want: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.NewRoster(roster.Entry{Name: "a"})
			for _, e := range tt.set {
				r.Set(e)
			}
			assert.Equal(t, r.LacksWitnesses(tt.have), tt.want)
		})
	}
}

// Guards against a registration with other witnesses that makes an instance a new one, or
// others the home of names anew.
func TestNewWitnessesMoveNoNames(t *testing.T) {
	r := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 1})
	txn, first, err := r.Registration(rows.Row{}, nil)
	assert.NilError(t, err)
	_, second, err := r.Registration(rows.Row{ID: txn.Writes[0].ID, Value: txn.Writes[0].Value, Version: 1}, nil)
	assert.NilError(t, err)
	assert.Equal(t, second.Since, first.Since)
	assert.Assert(t, second.Epoch > first.Epoch)

	other := newRoster(t, "b")
	other.Set(first)
	moved := other.ChangedAt()
	assert.Assert(t, other.Set(second))
	assert.Equal(t, other.ChangedAt(), moved)
	found, _ := other.Find("a")
	assert.Equal(t, found.Epoch, second.Epoch)
	assert.Equal(t, other.Others()[0].Epoch, second.Epoch)
}

// After all instances have started again, nobody can tell what one of them granted before.
// Guards against questions to witnesses that each program waits for in vain.
func TestWitnessesThatStartedSinceAreNotAsked(t *testing.T) {
	const lostAt = 100_000
	tests := []struct {
		name string
		// since are when the witnesses that are listed registered.
		since map[string]int64
		want  bool
	}{
		{name: "all have run", since: map[string]int64{"b": 1, "c": 1, "d": 1, "e": 1, "f": 1}, want: true},
		{name: "three have", since: map[string]int64{"b": 1, "c": 1, "d": 1, "e": lostAt}, want: true},
		{name: "all started with the loss", since: map[string]int64{"b": lostAt - 500, "c": lostAt - 900, "d": lostAt, "e": lostAt + 100, "f": lostAt + 900}},
		{name: "three are gone", since: map[string]int64{"b": 1, "c": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.NewRoster(roster.Entry{Name: "a"})
			for name, since := range tt.since {
				r.Set(roster.Entry{Name: name, Since: since})
			}
			lost := roster.Loss{Entry: roster.Entry{Name: "g", Witnesses: []string{"b", "c", "d", "e", "f"}}, At: lostAt}
			assert.Equal(t, r.WitnessesKnow(lost), tt.want)
		})
	}
}
