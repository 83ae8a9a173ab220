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

	// Ledger keeps a family's budget at one home. A home spends only below
	// Mark, which is in the table; the next home counts everything below the
	// Mark as spent.
	//
	// Spent + Held <= Mark <= Budget, unless a call used more than was
	// reserved for it.
	Ledger struct {
		Budget conf.Budget
		// Spent is what ended calls used, with Dead.
		Spent Usage
		// Held is reserved for calls that run now.
		Held Usage
		// Dead is the part of Spent that was reserved elsewhere and whose use
		// nobody has reported.
		Unreported Usage
		// Mark is the most that may be spent without a further commit.
		Limit Usage
		// Elapsed is the program's time up to Since.
		Elapsed time.Duration
		// Since is when this home took the family up.
		LoadedAt time.Time
		// OpenedAt is the opener's wall clock. It can only shorten the
		// program's time, so that a slow clock gives nothing back.
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

// Within reports whether no part of u is greater than that of v.
func (u Usage) Within(v Usage) bool {
	return u.Calls <= v.Calls && u.Tokens <= v.Tokens
}

// Min returns the lesser of each part.
func (u Usage) Min(v Usage) Usage {
	return Usage{Calls: min(u.Calls, v.Calls), Tokens: min(u.Tokens, v.Tokens)}
}

// Max returns the greater of each part.
func (u Usage) Max(v Usage) Usage {
	return Usage{Calls: max(u.Calls, v.Calls), Tokens: max(u.Tokens, v.Tokens)}
}

// Total returns the budget as a usage.
func (l *Ledger) Total() Usage {
	return Usage{Calls: l.Budget.Calls, Tokens: l.Budget.Tokens}
}

// Committed returns what is spent or reserved.
func (l *Ledger) Charged() Usage { return l.Spent.Add(l.Held) }

// Left returns what the budget still allows.
func (l *Ledger) Remaining() Usage { return l.Total().Sub(l.Charged()) }

// Chunk returns how much is reserved ahead, for a budget in so many parts.
func (l *Ledger) Chunk(parts int64) Usage {
	total := l.Total()
	return Usage{
		Calls:  max(1, total.Calls/parts),
		Tokens: max(1, total.Tokens/parts),
	}
}

// NextMark returns the mark to ask the table for, given what waiting calls
// need at once and what to reserve ahead. It never falls below the present
// mark.
func (l *Ledger) NextLimit(need, ahead Usage) Usage {
	want := l.Charged().Add(need).Add(ahead)
	return want.Min(l.Total()).Max(l.Limit)
}

// Reserve holds an amount for a call.
func (l *Ledger) Reserve(amount Usage) { l.Held = l.Held.Add(amount) }

// Settle ends a call that this home reserved for.
func (l *Ledger) Settle(reserved, used Usage) {
	l.Held = l.Held.Sub(reserved)
	l.Spent = l.Spent.Add(used)
}

// SettleDead takes the use of a call that another home reserved for. It was
// counted as spent when the family was loaded.
func (l *Ledger) SettleUnreported(used Usage) {
	known := used.Min(l.Unreported)
	l.Unreported = l.Unreported.Sub(known)
	l.Spent = l.Spent.Add(used.Sub(known))
}

// Abandon counts a running call's reservation as spent.
func (l *Ledger) Abandon(reserved Usage) {
	l.Held = l.Held.Sub(reserved)
	l.Spent = l.Spent.Add(reserved)
	l.Unreported = l.Unreported.Add(reserved)
}

// Used returns the program's time so far.
func (l *Ledger) TimeUsed(now time.Time) time.Duration {
	own := l.Elapsed + now.Sub(l.LoadedAt)
	wall := now.Round(0).Sub(l.OpenedAt)
	return max(own, wall)
}

// TimeLeft returns what is left of the program's time.
func (l *Ledger) TimeLeft(now time.Time) time.Duration {
	total := time.Duration(l.Budget.Seconds) * time.Second
	return total - l.TimeUsed(now)
}
