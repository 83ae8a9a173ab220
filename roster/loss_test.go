package roster_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
)

const program = "p"

// inOrder returns the names in the program's order.
func inOrder(t *testing.T, instances ...string) []string {
	t.Helper()
	r := newRoster(t, instances[0], instances[1:]...)
	return names(r.Leaders(program, len(instances)))
}

func setLoss(t *testing.T, r *roster.Roster, l *roster.Loss) {
	t.Helper()
	value, err := json.Marshal(l)
	assert.NilError(t, err)
	assert.NilError(t, r.SetLoss(rows.Row{ID: rows.ID{Table: roster.Table, Key: "lost/" + l.HolderName()}, Value: value, Version: 1}))
}

// Guards against losses that are not counted for a program whose home they may have been,
// and against those that are counted for all programs.
func TestLossesOfAProgramsHomes(t *testing.T) {
	order := inOrder(t, "a", "b", "c", "d", "e")
	self := order[4]
	hour := time.Hour.Milliseconds()
	now := time.Now().UnixMilli()
	lost := func(name string, start, at int64) *roster.Loss {
		return &roster.Loss{Entry: roster.Entry{Name: name, Start: start, Since: now - hour}, At: at, OutageEnd: at - 1000}
	}
	tests := []struct {
		name string
		// since is when the other instances registered.
		since  int64
		losses []*roster.Loss
		want   []string
	}{
		{name: "none", since: now - hour},
		{name: "the home", since: now - hour, losses: []*roster.Loss{lost(order[0], 1, now)}, want: []string{order[0] + "#1"}},
		{name: "another instance", since: now - hour, losses: []*roster.Loss{lost(order[1], 1, now)}},
		{name: "the next one, while the home may have been away", since: now, losses: []*roster.Loss{lost(order[1], 1, now)}, want: []string{order[1] + "#1"}},
		{name: "one that is never the home", since: now, losses: []*roster.Loss{lost(order[3], 1, now)}},
		{name: "all", since: now, losses: []*roster.Loss{lost(order[0], 1, now), lost(order[1], 1, now), lost(order[2], 1, now)}, want: []string{order[0] + "#1"}},
		{name: "two outages", since: now, losses: []*roster.Loss{lost(order[0], 2, now), lost(order[0], 1, now-10_000)}, want: []string{order[0] + "#1", order[0] + "#2"}},
		{name: "long ago", since: now - hour, losses: []*roster.Loss{lost(order[0], 1, now-hour)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster(t, self)
			for _, name := range order[:4] {
				r.Set(roster.Entry{Name: name, Start: 9, Since: tt.since})
			}
			for _, l := range tt.losses {
				setLoss(t, r, l)
			}
			assert.DeepEqual(t, r.Losses(program), tt.want)
		})
	}
}

// Guards against a home that takes a program over and counts as its home from before.
func TestFirstSinceIsTheLastMove(t *testing.T) {
	order := inOrder(t, "a", "b", "c")
	r := newRoster(t, order[1], order[0], order[2])
	_, ok := r.FirstSince(program)
	assert.Assert(t, !ok)
	before := common.Uptime()
	r.Set(roster.Entry{Name: order[0], Start: 1, Leaving: true})
	since, ok := r.FirstSince(program)
	assert.Assert(t, ok && since >= before, "%v", since)
	time.Sleep(time.Millisecond)
	r.Remove(order[2])
	again, ok := r.FirstSince(program)
	assert.Assert(t, ok)
	assert.Equal(t, again, since)
	r.Remove(r.Self().Name)
	_, ok = r.FirstSince(program)
	assert.Assert(t, !ok, "an instance that isn't listed is no home")
}

// A process registers in place of the row that an earlier one left. Guards against a loss
// that is recorded without the row, or a row that is replaced without the loss.
func TestRegistrationRecordsTheLoss(t *testing.T) {
	store := rows.NewMemory()
	old := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 1})
	txn, _, err := old.Registration(rows.Row{}, nil)
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), txn)
	assert.NilError(t, err)
	row, err := roster.ReadRow(t.Context(), store, "a")
	assert.NilError(t, err)
	e, err := roster.Decode(row)
	assert.NilError(t, err)

	next := roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1", Start: 2})
	late, _, err := next.Registration(rows.Row{}, roster.NewLoss(e, 0))
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), late)
	assert.ErrorIs(t, err, rows.ErrConflict)
	txn, _, err = next.Registration(row, roster.NewLoss(e, 0))
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), txn)
	assert.NilError(t, err)
	page, err := store.Range(t.Context(), rows.Query{Table: roster.Table})
	assert.NilError(t, err)
	losses := 0
	for _, r := range page.Rows {
		if roster.IsLoss(r) {
			losses++
			assert.NilError(t, next.SetLoss(r))
		}
	}
	assert.Equal(t, losses, 1)
	assert.DeepEqual(t, next.Losses(program), []string{"a#1"})
}

// Guards against grants of an earlier home that nobody asks for: it was listed before this
// instance, or leaves. Those that came later were never the home, nor were those far down in
// the name's order.
func TestEarlierHomes(t *testing.T) {
	order := inOrder(t, "a", "b", "c", "d", "e")
	r := roster.NewRoster(roster.Entry{Name: order[0], Start: 1})
	for _, name := range []string{order[1], order[4]} {
		r.Set(roster.Entry{Name: name, Start: 1})
	}
	r.MarkListed()
	r.Set(roster.Entry{Name: order[2], Start: 1})
	assert.DeepEqual(t, names(r.EarlierHomes("p")), []string{order[1]})
	assert.Equal(t, len(r.Earlier()), 2)
	r.Set(roster.Entry{Name: order[2], Start: 1, Leaving: true})
	assert.DeepEqual(t, names(r.EarlierHomes("p")), []string{order[1], order[2]})
	// Another process of an earlier instance was listed after this one.
	r.Set(roster.Entry{Name: order[1], Start: 2})
	assert.DeepEqual(t, names(r.EarlierHomes("p")), []string{order[2]})
	r.Remove(order[2])
	assert.DeepEqual(t, names(r.EarlierHomes("p")), []string{order[4]})
}
