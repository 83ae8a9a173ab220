package conf

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestEditor(table *fakeTable) Editor {
	n := 0
	return Editor{Table: table, NewID: func() string {
		n++
		return "r" + strconv.Itoa(n)
	}}
}

func TestPutDeterminesTheOutcome(t *testing.T) {
	tests := []struct {
		name   string
		faults []commitFault
		want   error
		// stored means that the text must be in the store afterwards.
		stored bool
	}{
		{"no fault", nil, nil, true},
		{"down", []commitFault{down}, ErrUnavailable, false},
		{"reply lost", []commitFault{replyLost}, nil, true},
		{"reply lost and reads fail", []commitFault{replyLostReadsDown}, ErrUnknown, true},
		{"request delayed, then retried", []commitFault{requestDelayed}, nil, true},
		{"request delayed, then store down", []commitFault{requestDelayed, down, down, down, down, down, down, down}, ErrUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newFakeTable()
			table.faults = tt.faults
			edit, err := newTestEditor(table).Put(t.Context(), 0, []byte(goodText))
			table.applyDelayed()
			assert.ErrorIs(t, err, tt.want)
			if !errors.Is(tt.want, ErrUnavailable) {
				assert.Assert(t, !errors.Is(err, ErrUnavailable), "an unknown outcome must not promise that nothing changed")
			}
			assert.Equal(t, len(table.rows[HeadKey]) == 1, tt.stored)
			if err == nil {
				assert.Equal(t, edit.Head.Revision, int64(1))
			}
		})
	}
}

func TestConflictReportsTheNewerRevision(t *testing.T) {
	table := newFakeTable()
	e := newTestEditor(table)
	_, err := e.Put(t.Context(), 0, []byte(goodText))
	assert.NilError(t, err)
	_, err = e.Put(t.Context(), 0, []byte(goodText))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict, &ConflictError{Base: 0, Newer: 1})
}

// TestConcurrentPutReportsConflict has another operator commit between the read
// and the commit of a Put. The other's revision must not be reported as the
// editor's own.
func TestConcurrentPutReportsConflict(t *testing.T) {
	table := newFakeTable()
	e := newTestEditor(table)
	other := Editor{Table: table, NewID: func() string { return "other" }}
	table.beforeCommit = func() {
		table.beforeCommit = nil
		_, err := other.Put(context.Background(), 0, []byte(goodText))
		assert.NilError(t, err)
	}
	_, err := e.Put(t.Context(), 0, []byte(goodText))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.Equal(t, conflict.Newer, int64(1))
}

func TestDomainPreservesAConcurrentEdit(t *testing.T) {
	table := newFakeTable()
	e := newTestEditor(table)
	_, err := e.Put(t.Context(), 0, []byte(goodText))
	assert.NilError(t, err)
	raised := strings.Replace(goodText, `"burst": 20`, `"burst": 40`, 1)
	other := Editor{Table: table, NewID: func() string { return "other" }}
	table.beforeCommit = func() {
		table.beforeCommit = nil
		_, err := other.Put(context.Background(), 1, []byte(raised))
		assert.NilError(t, err)
	}
	edit, err := e.SetDomainOut(t.Context(), "a", true)
	assert.NilError(t, err)
	assert.Equal(t, edit.Head.Revision, int64(3))
	assert.DeepEqual(t, edit.Changes, []Change{{"failure domains", "taken out: a"}})
	text, err := ParseText([]byte(edit.Head.Text))
	assert.NilError(t, err)
	assert.Equal(t, text.Teams[0].Burst, 40.0)
	assert.DeepEqual(t, text.DomainsOut, []string{"b", "a"})
}

func TestDomainAlreadyOutWritesNothing(t *testing.T) {
	table := newFakeTable()
	e := newTestEditor(table)
	_, err := e.Put(t.Context(), 0, []byte(goodText))
	assert.NilError(t, err)
	edit, err := e.SetDomainOut(t.Context(), "b", true)
	assert.NilError(t, err)
	assert.Equal(t, edit.Head.Revision, int64(1))
	assert.Equal(t, len(edit.Changes), 0)
}

func TestEditDomain(t *testing.T) {
	tests := []struct {
		name, source, domain string
		out                  bool
		want                 []string
		err                  error
	}{
		{"out", goodText, "a", true, []string{"b", "a"}, nil},
		{"in", goodText, "b", false, []string{}, nil},
		{"unknown", goodText, "z", true, nil, ErrUnknownDomain},
		{"field omitted", strings.Replace(goodText, `"domainsOut": ["b"],`, "", 1), "a", true, []string{"a"}, nil},
		{"field null", strings.Replace(goodText, `["b"]`, "null", 1), "a", true, []string{"a"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			edited, _, err := EditDomain([]byte(tt.source), tt.domain, tt.out)
			assert.ErrorIs(t, err, tt.err)
			if tt.err != nil {
				return
			}
			assert.Assert(t, strings.Contains(string(edited), "// Two services"), "comments must be preserved")
			text, err := ParseText(edited)
			assert.NilError(t, err)
			assert.DeepEqual(t, text.DomainsOut, tt.want)
		})
	}
}
