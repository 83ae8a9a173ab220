package budget

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
)

// maxRecordTokens bounds the tokens of a holder, so that sums don't overflow.
const maxRecordTokens = 1 << 40

// record is a program's row.
type record struct {
	Total int `json:"total"`
	// Allocations are the tokens that each holder may hand out or has handed out.
	Allocations map[string]int `json:"slices"`
	// Provisionals are the tokens that a home granted each holder in addition.
	Provisionals map[string]int `json:"advances,omitempty"`
	// Returned are the provisional tokens that holders returned.
	Returned map[string]int `json:"returned,omitempty"`
	// Closed are the processes of which the record has all that they granted as the home:
	// they had an allocation of the program before they wrote it. With an epoch, it is the
	// word of their witnesses for one registration.
	Closed map[string]bool `json:"closed,omitempty"`
	// Lost are the tokens that homes which were lost may have granted in addition.
	Lost map[string]int `json:"lost,omitempty"`
	// Heavy is set once the home has ended provisional allocations.
	Heavy bool `json:"spender,omitempty"`
	// Listed is set if the program is in the table of heavy programs, which may come
	// before the home has ended them.
	Listed bool `json:"listed,omitempty"`
	// Writer makes each written value unique.
	Writer string `json:"writer"`
	// Sequences are the numbers of the holders' last transactions that granted or
	// returned tokens.
	Sequences map[string]int64 `json:"sequences,omitempty"`
}

// sum returns the tokens that count as spent.
func (r *record) sum() int {
	return total(r.Allocations) + total(r.Provisionals) - total(r.Returned) + total(r.Lost)
}

func total(tokens map[string]int) int {
	sum := 0
	for _, n := range tokens {
		sum += n
	}
	return sum
}

// list sets Listed for a record that leaves no room for the maxima of two homes, and
// reports whether that is news.
func (r *record) list() bool {
	if r.Listed || !r.Heavy && r.sum() <= heavyPercent*r.Total/100 {
		return false
	}
	r.Listed = true
	return true
}

// held returns the tokens that the holder has, provisional ones included.
func (r *record) held(holder string) int {
	return r.Allocations[holder] + r.Provisionals[holder] - r.Returned[holder]
}

// returnTokens subtracts the tokens that the holder returned, first from its
// allocation.
func (r *record) returnTokens(holder string, tokens int) {
	tokens = min(tokens, r.held(holder))
	fromAllocation := min(tokens, r.Allocations[holder])
	r.Allocations[holder] -= fromAllocation
	if tokens > fromAllocation {
		if r.Returned == nil {
			r.Returned = make(map[string]int)
		}
		r.Returned[holder] += tokens - fromAllocation
	}
}

// holders returns the names of all holders, in no particular order.
func (r *record) holders() []string {
	all := maps.Clone(r.Allocations)
	maps.Copy(all, r.Provisionals)
	return slices.Collect(maps.Keys(all))
}

// addProvisional records the sum of a holder's provisional allocations so far.
// Holder and home may both record it, in any order.
func (r *record) addProvisional(holder string, sum int) {
	if sum <= r.Provisionals[holder] {
		return
	}
	if r.Provisionals == nil {
		r.Provisionals = make(map[string]int)
	}
	r.Provisionals[holder] = sum
}

// addLoss counts the tokens as spent that the lost process may have granted as the home. A
// heavy program gets no provisional allocations, nor does one that the home has an allocation
// of; but the first of those may have been on its way while the home granted.
func (r *record) addLoss(home string, tokens int) {
	if r.Lost == nil {
		r.Lost = make(map[string]int)
	}
	r.Lost[home] = tokens
}

// countsLoss reports whether the record counts the loss of one of the processes.
func (r *record) countsLoss(homes []string) bool {
	return slices.ContainsFunc(homes, func(home string) bool { return r.Lost[home] > 0 })
}

// close records that the process grants nothing more as the program's home.
func (r *record) close(home string) {
	if r.Closed == nil {
		r.Closed = make(map[string]bool)
	}
	r.Closed[home] = true
}

// setSequence sets the number of the holder's transaction.
func (r *record) setSequence(holder string, sequence int64) {
	if r.Sequences == nil {
		r.Sequences = make(map[string]int64)
	}
	r.Sequences[holder] = sequence
}

// decode decodes a program's row. A row that doesn't exist yet starts with the
// budget that the request declares.
func decode(row rows.Row, total int) (*record, error) {
	r := &record{Total: total}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, r); err != nil {
			return nil, errors.Trace(err)
		}
		if err := r.check(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if r.Allocations == nil {
		r.Allocations = make(map[string]int)
	}
	return r, nil
}

// check returns an error for a row that no instance has written.
func (r *record) check() error {
	if r.Writer == "" {
		return errors.New("the row is no record of a budget")
	}
	for _, tokens := range []map[string]int{r.Allocations, r.Provisionals, r.Returned, r.Lost} {
		for holder, n := range tokens {
			if n < 0 || n > maxRecordTokens {
				return errors.Errorf("holder %q has %d tokens", holder, n)
			}
		}
	}
	return nil
}

func rowID(program string) rows.ID {
	return rows.ID{Table: Table, Part: fmt.Sprintf("p%d", xxhash.Sum64String(program)%parts), Key: program}
}
