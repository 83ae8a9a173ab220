package prog

import (
	"time"

	"github.com/juju/errors"
)

// restore builds a family from its rows and validates their consistency.
// Everything that an earlier home reserved counts as spent.
func restore(result *LoadResult, now time.Time) (*family, error) {
	row, err := DecodeFamily(result.Row.Value)
	if err != nil {
		return nil, err
	}
	f := &family{
		root:    row.Program,
		team:    row.Team,
		ended:   row.Ended,
		version: result.Row.Version,
		ledger: Ledger{
			Budget:     row.Budget,
			Spent:      row.Reserved.Max(row.Spent),
			Unreported: row.Reserved.Sub(row.Spent).Max(Usage{}),
			Limit:      row.Reserved,
			Elapsed:    time.Duration(row.ElapsedMillis) * time.Millisecond,
			LoadedAt:   now,
			OpenedAt:   time.UnixMilli(row.OpenedAtMillis),
		},
	}
	if result.Row.Key != FamilyKey(row.Program) {
		return nil, errors.Annotatef(ErrChain, "row key %q is not the program's", result.Row.Key)
	}
	turns := indexTurns(result)
	for _, a := range row.Agents {
		restored, err := restoreAgent(&a, row.Team, turns, result.Bodies)
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, restored)
	}
	return f, nil
}

// indexTurns maps the keys of turn rows to their values.
func indexTurns(result *LoadResult) map[string][]byte {
	turns := make(map[string][]byte, len(result.Turns))
	for _, r := range result.Turns {
		turns[r.Key] = r.Value
	}
	return turns
}

// restoreAgent rebuilds a program from the chain of its turns. Turn rows beyond
// the family's row were written by a later commit than that row; the next
// commit then gets a conflict and the family is reloaded.
func restoreAgent(row *AgentRow, team string, values, bodies map[string][]byte) (*agent, error) {
	a := newAgent(row.Program, team, row.Key)
	a.ended = row.Ended
	for number := 1; number <= row.Turns; number++ {
		value, ok := values[TurnKey(row.Program, number)]
		if !ok {
			return nil, errors.Annotatef(ErrChain, "turn %d of %q is missing", number, row.Program)
		}
		t, err := restoreTurn(a, number, value, bodies)
		if err != nil {
			return nil, err
		}
		a.turns = append(a.turns, t)
		a.markCached(t.engine)
	}
	if a.head() != row.Head {
		return nil, errors.Annotatef(ErrChain, "head of %q is not its last turn", row.Program)
	}
	return a, nil
}

func restoreTurn(a *agent, number int, value []byte, bodies map[string][]byte) (*turn, error) {
	row, err := DecodeTurn(value)
	if err != nil {
		return nil, err
	}
	if row.Program != a.program || row.Turn != number || row.Previous != a.head() {
		return nil, errors.Annotatef(ErrChain, "turn %d of %q does not follow the previous turn", number, a.program)
	}
	body := row.Body
	if row.Object != "" {
		body, err = DecodeBody(bodies[row.Object], row.BodyDigest)
	}
	if err != nil {
		return nil, err
	}
	t := turnFromRow(row, body)
	t.digest = digestOf(value)
	return t, nil
}
