package share

import "time"

const (
	// minBorrowBackoff and maxBorrowBackoff bound how long the holders of a quota
	// are not asked again after none of them had a token.
	minBorrowBackoff = 20 * time.Millisecond
	maxBorrowBackoff = 200 * time.Millisecond
)

type (
	// Ask is what a borrower asks a holder of a quota for.
	Ask struct {
		Want float64 `json:"want"`
		// MaxWait is how long the request can wait for a token.
		MaxWait time.Duration `json:"maxWait"`
		// Opens is set for a request that opens a program. It must leave part of the
		// share to running ones, whose earlier work is lost if they are refused.
		Opens bool `json:"opens"`
	}

	// Loan is a holder's reply.
	Loan struct {
		// Tokens are the borrower's after Wait. Without any, Wait is the time until
		// the holder expects to have one, and Spare the fraction that it has.
		Tokens float64       `json:"tokens"`
		Wait   time.Duration `json:"wait"`
		Spare  float64       `json:"spare"`
		// Throttled is how long no program may open at the holder.
		Throttled time.Duration `json:"tight"`
	}
)

// Borrow asks the holders with the indexes 0..holders-1 one after the other until
// one of them lends or promises a token. The first is only asked for one that it
// has now, since another may have one while it hasn't. Ask reports false if the
// holder did not reply. Without a loan, Wait is the shortest one of all replies.
func Borrow(holders int, a Ask, ask func(holder int, a Ask) (Loan, bool)) Loan {
	none := Loan{Wait: maxBorrowBackoff}
	spares := make([]float64, holders)
	firstWait := none.Wait
	for i := range holders {
		now := a
		if i == 0 && holders > 1 {
			now.MaxWait = 0
		}
		loan, ok := ask(i, now)
		if !ok {
			continue
		}
		if loan.Tokens > 0 {
			return loan
		}
		if i == 0 {
			firstWait = loan.Wait
		}
		spares[i] = loan.Spare
		none.Spare += loan.Spare
		none.Wait = min(none.Wait, loan.Wait)
		none.Throttled = max(none.Throttled, loan.Throttled)
	}
	if need := min(1, a.Want); none.Spare >= need {
		return joinFractions(spares, need, a, ask)
	}
	if holders > 1 && firstWait <= a.MaxWait {
		if loan, ok := ask(0, a); ok && loan.Tokens > 0 {
			return loan
		}
	}
	return none
}

// joinFractions borrows the needed tokens from holders that have fractions of them.
func joinFractions(spares []float64, need float64, a Ask, ask func(holder int, a Ask) (Loan, bool)) Loan {
	joined := Loan{}
	a.MaxWait = 0
	for i, spare := range spares {
		a.Want = min(spare, need-joined.Tokens)
		if a.Want <= tokenTolerance {
			continue
		}
		if loan, ok := ask(i, a); ok {
			joined.Tokens += loan.Tokens
		}
	}
	return joined
}

// Backoff returns how long requests with the timeout would ask in vain after none
// of the holders had a token.
func Backoff(none Loan, timeout time.Duration) time.Duration {
	return min(max(none.Wait-timeout, minBorrowBackoff), maxBorrowBackoff)
}
