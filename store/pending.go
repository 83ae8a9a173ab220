package store

const (
	pendingQueued pendingState = iota
	pendingInFlight
	pendingFinished
)

type (
	pendingState int

	// Outcome is what became of a transaction given to a Committer.
	Outcome struct {
		// Version is the version that every written row now has.
		Version int64
		// Writer is the request id under which the rows were written.
		Writer string
		// Err is nil, ErrConflict, ErrUnavailable or ErrUnknown.
		Err error
	}

	// Pending is a transaction that was given to a Committer.
	Pending struct {
		txn     Txn
		state   pendingState
		done    chan struct{}
		outcome Outcome
	}
)

func newPending(txn Txn) *Pending {
	return &Pending{txn: txn, done: make(chan struct{})}
}

// Done is closed once the outcome is there.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Outcome returns the outcome; it may be called once Done is closed.
func (p *Pending) Outcome() Outcome { return p.outcome }

func (p *Pending) finish(outcome Outcome) {
	p.state = pendingFinished
	p.outcome = outcome
	close(p.done)
}

// conflictsWith says that one of the rows stands against a condition.
func (p *Pending) conflictsWith(rows []Row) bool {
	for _, condition := range p.txn.Conditions {
		for _, row := range rows {
			if row.Key == condition.Key && row.Version != condition.Version {
				return true
			}
		}
	}
	return false
}
