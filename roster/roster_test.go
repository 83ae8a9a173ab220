package roster_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
)

func newRoster(t *testing.T, self string, others ...string) *roster.Roster {
	t.Helper()
	r := roster.NewRoster(roster.Entry{Name: self})
	r.MarkListed()
	for _, name := range others {
		r.Set(roster.Entry{Name: name, Start: 1})
	}
	return r
}

func names(entries []roster.Entry) []string {
	found := make([]string, 0, len(entries))
	for _, e := range entries {
		found = append(found, e.Name)
	}
	return found
}

func TestAllInstancesComputeSameRanks(t *testing.T) {
	one := newRoster(t, "a", "b", "c", "d")
	other := newRoster(t, "c", "d", "a", "b")
	for _, name := range []string{"p1", "p2", "p3"} {
		ranked := names(one.Leaders(name, one.Len()))
		assert.DeepEqual(t, ranked, names(other.Leaders(name, other.Len())))
		assert.Equal(t, one.First(name).Name, ranked[0])
		rank, instances := one.Rank(name)
		assert.Equal(t, ranked[rank], "a")
		assert.Equal(t, instances, len(ranked))
	}
}

// An instance that started while the store was away knows the others before they
// know it. It must not act as the holder or home of names that the others assign
// among themselves.
func TestUnlistedInstanceIsAssignedNothing(t *testing.T) {
	listed := newRoster(t, "b", "c", "d")
	r := roster.NewRoster(roster.Entry{Name: "a"})
	for _, name := range []string{"b", "c", "d"} {
		r.Set(roster.Entry{Name: name, Start: 1})
	}
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		rank, instances := r.Rank(name)
		assert.Equal(t, rank, instances)
		assert.Equal(t, r.First(name).Name, listed.First(name).Name)
	}
	r.MarkListed()
	rank, _ := r.Rank("p1")
	assert.Equal(t, names(r.Leaders("p1", r.Len()))[rank], "a")
}

// Guards against programs whose home is stopping: it is the first for no name unless
// all others stop too, while everything else that it is asked for stays as it was.
func TestLeavingInstanceIsFirstForNothing(t *testing.T) {
	r := newRoster(t, "a", "b", "c")
	r.Set(roster.Entry{Name: "b", Start: 1, Leaving: true})
	r.MarkLeaving()
	assert.Equal(t, r.Len(), 3)
	_, known := r.Find("b")
	assert.Assert(t, known)
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		assert.Equal(t, r.First(name).Name, "c")
		rank, _ := r.Rank(name)
		assert.Equal(t, names(r.Leaders(name, r.Len()))[rank], "a")
	}
	r.Set(roster.Entry{Name: "c", Start: 1, Leaving: true})
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		assert.Equal(t, r.First(name).Name, r.Leaders(name, 1)[0].Name)
	}
	// The row of an earlier process of the instance.
	r.Set(roster.Entry{Name: "a", Start: -1, Leaving: true})
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		assert.Equal(t, r.First(name).Name, "a")
	}
}

// A mark that comes late must not bring the row of an instance back that has left.
func TestLateDepartureDoesNothing(t *testing.T) {
	store := rows.NewMemory()
	r := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 7})
	txn, _, err := r.Registration(rows.Row{}, nil)
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), txn)
	assert.NilError(t, err)
	row, err := roster.ReadRow(t.Context(), store, "a")
	assert.NilError(t, err)
	departure, err := r.Departure(row)
	assert.NilError(t, err)
	removal, own := r.Removal(row)
	assert.Assert(t, own)
	_, err = store.Commit(t.Context(), removal)
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), departure)
	assert.ErrorIs(t, err, rows.ErrConflict)
}

// Guards against a planned stop that removes the row of the process before, of which no loss
// would then be recorded.
func TestRemovalKeepsTheRowOfAnEarlierProcess(t *testing.T) {
	earlier := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 6})
	txn, _, err := earlier.Registration(rows.Row{}, nil)
	assert.NilError(t, err)
	row := rows.Row{ID: txn.Writes[0].ID, Value: txn.Writes[0].Value, Version: 3}
	_, own := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 7}).Removal(row)
	assert.Assert(t, !own)
	removal, own := earlier.Removal(row)
	assert.Assert(t, own)
	assert.DeepEqual(t, removal.Expect, []rows.Expectation{{ID: row.ID, Version: 3}})
}

func TestRegistrationRoundTrip(t *testing.T) {
	e := roster.Entry{Name: "a", Address: "127.0.0.1:1", FailureDomain: "x", Start: 7}
	txn, own, err := roster.NewRoster(e).Registration(rows.Row{}, nil)
	assert.NilError(t, err)
	got, err := roster.Decode(rows.Row{ID: txn.Writes[0].ID, Value: txn.Writes[0].Value})
	assert.NilError(t, err)
	assert.Assert(t, got.Since > 0)
	assert.DeepEqual(t, got, own)
	got.Since, got.Epoch = 0, 0
	assert.DeepEqual(t, got, e)
}

func TestLost(t *testing.T) {
	const after = 8 * time.Second
	tests := []struct {
		name string
		call func(r *roster.Roster)
		want []string
	}{
		{name: "never called", call: func(*roster.Roster) {}},
		{name: "failed once", call: func(r *roster.Roster) { r.MarkFailed("b", 0) }},
		{
			name: "failing for longer than the limit",
			call: func(r *roster.Roster) { r.MarkFailed("b", 0); r.MarkFailed("b", 9*time.Second) },
			want: []string{"b"},
		},
		{
			name: "reachable in between",
			call: func(r *roster.Roster) { r.MarkFailed("b", 0); r.MarkReachable("b"); r.MarkFailed("b", 9*time.Second) },
		},
		{
			name: "restarted in between",
			call: func(r *roster.Roster) {
				r.MarkFailed("b", 0)
				r.Set(roster.Entry{Name: "b", Start: 2})
				r.MarkFailed("b", 9*time.Second)
			},
		},
		{
			name: "removed from the list",
			call: func(r *roster.Roster) { r.MarkFailed("b", 0); r.MarkFailed("b", 9*time.Second); r.Remove("b") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster(t, "a", "b", "c")
			tt.call(r)
			assert.DeepEqual(t, r.Unreachable(9*time.Second, after), tt.want)
		})
	}
}

// An instance that is slow fails some calls. Guards against others that go on without the
// tokens that it holds.
func TestSlowInstanceIsNotGone(t *testing.T) {
	const after = time.Second
	tests := []struct {
		name string
		call func(r *roster.Roster)
		want bool
	}{
		{name: "never called", call: func(*roster.Roster) {}},
		{name: "silent just now", call: func(r *roster.Roster) { r.MarkFailed("b", 9500*time.Millisecond) }},
		{name: "silent for longer", call: func(r *roster.Roster) { r.MarkFailed("b", 8*time.Second) }, want: true},
		{name: "answered in between", call: func(r *roster.Roster) {
			r.MarkFailed("b", 8*time.Second)
			r.MarkReachable("b")
			r.MarkFailed("b", 9500*time.Millisecond)
		}},
		{name: "another process since", call: func(r *roster.Roster) {
			r.MarkFailed("b", 8*time.Second)
			r.Set(roster.Entry{Name: "b", Start: 2})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster(t, "a", "b")
			tt.call(r)
			assert.Equal(t, r.SeemsGone("b", 10*time.Second, after), tt.want)
		})
	}
}

func TestRemoveReportsOwnEntry(t *testing.T) {
	r := newRoster(t, "a", "b")
	assert.Assert(t, r.Remove("a"))
	assert.Assert(t, !r.Remove("b"))
	assert.Equal(t, r.Len(), 1)
}

func TestRankFollowsListChanges(t *testing.T) {
	r := newRoster(t, "a", "b", "c", "d")
	for _, name := range []string{"p1", "p2", "p3"} {
		r.Rank(name)
	}
	r.Remove("b")
	r.Set(roster.Entry{Name: "e", Start: 1})
	for _, name := range []string{"p1", "p2", "p3"} {
		rank, instances := r.Rank(name)
		assert.Equal(t, names(r.Leaders(name, r.Len()))[rank], "a")
		assert.Equal(t, instances, 4)
	}
}

// Guards against entries that survive a complete read of the table, and against
// an own entry that is replaced by a stored one.
func TestReplaceKeepsOnlyOwnEntry(t *testing.T) {
	r := newRoster(t, "a", "b", "c")
	rank, instances := r.Rank("p")
	assert.Assert(t, rank < instances)
	assert.Equal(t, instances, 3)
	r.Replace([]roster.Entry{{Name: "d", Start: 2}, {Name: "a", Start: 9}})
	assert.DeepEqual(t, names(r.Others()), []string{"d"})
	assert.Equal(t, r.Len(), 2)
	assert.Equal(t, r.Self().Start, int64(0))
	_, instances = r.Rank("p")
	assert.Equal(t, instances, 2)
}

// A third of the instances is cut off. What asks one of them in vain must not do so
// again and again: the pause doubles up to two seconds, and ends with a reply.
func TestEjectionDoubles(t *testing.T) {
	r := newRoster(t, "a", "b")
	calls := 0
	for now := time.Second; now < 21*time.Second; now += 10 * time.Millisecond {
		if !r.Ejected("b", now) {
			calls++
			r.MarkFailed("b", now)
			r.MarkFailed("b", now)
		}
	}
	assert.Equal(t, calls, 12)
	r.MarkReachable("b")
	assert.Assert(t, !r.Ejected("b", 21*time.Second))
	r.MarkFailed("b", 21*time.Second)
	assert.Assert(t, !r.Ejected("b", 21*time.Second+minEjectionOfOne))
}

// minEjectionOfOne is how long a single failure ejects.
const minEjectionOfOne = 500 * time.Millisecond

// A row that names no instance must not take a share of quotas.
func TestOddRowsNameNoInstance(t *testing.T) {
	for _, value := range []string{
		"", "null", "{}", "[]", "17", `{"address":5}`, `{"address":""}`, `{"address":"10.0.0.1"}`, `{"address":"10.0.0.1:0"}`,
		`{"address":"10.0.0.1:65536"}`, `{"address":"10.0.0.1:80","start":1e400}`, `{"address":"10.0.0.1:80","start":"1"}`, strings.Repeat("[", 64<<10), "\xff",
	} {
		_, err := roster.Decode(rows.Row{ID: rows.ID{Table: roster.Table, Key: "one"}, Value: []byte(value)})
		assert.Check(t, err != nil, "%.80q", value)
	}
	_, err := roster.Decode(rows.Row{ID: rows.ID{Table: roster.Table}, Value: []byte(`{"address":"10.0.0.1:80","start":1}`)})
	assert.Check(t, err != nil, "without a name")
	e, err := roster.Decode(rows.Row{ID: rows.ID{Table: roster.Table, Key: "one"}, Value: []byte(`{"name":"two","address":"10.0.0.1:80","start":1}`)})
	assert.NilError(t, err)
	assert.DeepEqual(t, e, roster.Entry{Name: "one", Address: "10.0.0.1:80", Start: 1})
}
