package prog

import (
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

type (
	// Usage is an amount of a budget.
	Usage struct {
		Calls  int64 `json:"calls"`
		Tokens int64 `json:"tokens"`
	}

	// Ledger is a home's account of a family's budget. A home spends only up
	// to Limit, which is in the table; the next home counts everything up to
	// Limit as spent.
	//
	// Spent + Held <= Limit <= Budget, unless a call used more than was
	// reserved for it.
	Ledger struct {
		Budget conf.Budget
		// Spent is the usage of ended calls, including Unreported.
		Spent Usage
		// Held is the amount reserved for running calls.
		Held Usage
		// Unreported is the part of Spent that was reserved elsewhere or for
		// an abandoned call, and whose actual usage has not been reported.
		Unreported Usage
		// Limit is the most that may be spent without another commit.
		Limit Usage
		// Elapsed is the program's time up to LoadedAt.
		Elapsed time.Duration
		// LoadedAt is when this home created or loaded the family.
		LoadedAt time.Time
		// OpenedAt is the wall clock time of the home that opened the program.
		// It can only shorten the program's time, so that a slow clock doesn't
		// extend it.
		OpenedAt time.Time
	}
)

// Add returns the sum of two usages.
func (u Usage) Add(v Usage) Usage {
	return Usage{Calls: u.Calls + v.Calls, Tokens: u.Tokens + v.Tokens}
}

// Sub returns the difference of two usages.
func (u Usage) Sub(v Usage) Usage {
	return Usage{Calls: u.Calls - v.Calls, Tokens: u.Tokens - v.Tokens}
}

// Within reports whether neither part of u exceeds that of v.
func (u Usage) Within(v Usage) bool {
	return u.Calls <= v.Calls && u.Tokens <= v.Tokens
}

// Min returns the minimum of each part.
func (u Usage) Min(v Usage) Usage {
	return Usage{Calls: min(u.Calls, v.Calls), Tokens: min(u.Tokens, v.Tokens)}
}

// Max returns the maximum of each part.
func (u Usage) Max(v Usage) Usage {
	return Usage{Calls: max(u.Calls, v.Calls), Tokens: max(u.Tokens, v.Tokens)}
}

// Total returns the budget's calls and tokens.
func (l *Ledger) Total() Usage {
	return Usage{Calls: l.Budget.Calls, Tokens: l.Budget.Tokens}
}

// Charged returns the sum of Spent and Held.
func (l *Ledger) Charged() Usage { return l.Spent.Add(l.Held) }

// Remaining returns the part of the budget that is not charged.
func (l *Ledger) Remaining() Usage { return l.Total().Sub(l.Charged()) }

// Chunk returns the amount to reserve ahead: one of the given number of parts
// of the budget.
func (l *Ledger) Chunk(parts int64) Usage {
	total := l.Total()
	return Usage{
		Calls:  max(1, total.Calls/parts),
		Tokens: max(1, total.Tokens/parts),
	}
}

// NextLimit returns the limit to commit, given what queued calls need now and
// what to reserve ahead. It is never below the present limit.
func (l *Ledger) NextLimit(need, ahead Usage) Usage {
	limit := l.Charged().Add(need).Add(ahead)
	return limit.Min(l.Total()).Max(l.Limit)
}

// Reserve holds an amount for a call.
func (l *Ledger) Reserve(amount Usage) { l.Held = l.Held.Add(amount) }

// Settle replaces this home's reservation for a call by the call's usage.
func (l *Ledger) Settle(reserved, used Usage) {
	l.Held = l.Held.Sub(reserved)
	l.Spent = l.Spent.Add(used)
}

// SettleUnreported records the usage of a call that another home reserved for,
// which was counted as spent when the family was loaded.
func (l *Ledger) SettleUnreported(used Usage) {
	counted := used.Min(l.Unreported)
	l.Unreported = l.Unreported.Sub(counted)
	l.Spent = l.Spent.Add(used.Sub(counted))
}

// Abandon counts a running call's reservation as spent.
func (l *Ledger) Abandon(reserved Usage) {
	l.Held = l.Held.Sub(reserved)
	l.Spent = l.Spent.Add(reserved)
	l.Unreported = l.Unreported.Add(reserved)
}

// TimeUsed returns the program's accumulated time, or the wall clock time since
// it was opened if that is longer.
func (l *Ledger) TimeUsed(now time.Time) time.Duration {
	elapsed := l.Elapsed + now.Sub(l.LoadedAt)
	wall := now.Round(0).Sub(l.OpenedAt)
	return max(elapsed, wall)
}

// TimeLeft returns the rest of the program's time budget.
func (l *Ledger) TimeLeft(now time.Time) time.Duration {
	total := time.Duration(l.Budget.Seconds) * time.Second
	return total - l.TimeUsed(now)
}
