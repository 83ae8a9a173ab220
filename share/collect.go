package share

const (
	// sequentialCalls is the number of calls made one after the other: the first
	// lender usually has the token of a single request, and nothing is borrowed
	// that isn't needed.
	sequentialCalls = 3
	// overAskFactor is how much more than is missing the remaining lenders are
	// asked for in total, since some of them have less.
	overAskFactor = 2
)

// Collect borrows from the given number of lenders until it has the wanted tokens,
// and returns their sum. Ask calls the lenders with the indexes from..to-1
// concurrently, requests the same number of tokens from each, and returns the sum
// of the replies. The first calls go to one lender at a time, or to a few at once
// if many tokens are wanted; the last call goes to all that remain.
func Collect(lenders int, want float64, ask func(from, to int, each float64) float64) float64 {
	sum, from := 0.0, 0
	batch := max(1, int(want))
	for range sequentialCalls {
		if from == lenders || sum >= want-tokenTolerance {
			return sum
		}
		to := min(lenders, from+batch)
		sum += ask(from, to, (want-sum)/float64(to-from))
		from = to
	}
	if from == lenders || sum >= want-tokenTolerance {
		return sum
	}
	missing := want - sum
	return sum + ask(from, lenders, min(missing, overAskFactor*missing/float64(lenders-from)))
}
