package route

import "time"

const (
	stateQueued state = iota + 1
	stateSuspect
	stateRunning
)

type (
	// state is where a call stands.
	state int

	// entry is a call that the pool knows, queued or running.
	entry struct {
		Call
		state state
		// attempt counts the assignments.
		attempt int
		// begun says that an upstream may have run the call.
		begun bool
		// wasBegun is begun before the running attempt.
		wasBegun bool
		// queuedAt is when the call first came; key is its order in its team.
		queuedAt time.Time
		key      time.Time
		team     *team
		// queue is the fair queue that the call waits in.
		queue *fairQueue
		// index and dueIndex are its places in the team's and the due heap.
		index    int
		dueIndex int

		upstream *upstream
		// startedAt, generation and cost are of the running attempt.
		startedAt  time.Time
		generation int64
		cost       float64
		// backlog is the prefill time that was expected ahead of the first token.
		backlog  time.Duration
		uncached int
		// alone says that the call runs as a suspect.
		alone bool
		// orphanedAt is when the relay went; zero while it is there.
		orphanedAt time.Time
		cancelSent bool
	}
)

// runState says what is true of the call's run so far.
func (e *entry) runState() RunState {
	if e.begun {
		return RunStateUnknown
	}
	return RunStateNotRun
}

// dueAt is when the pool must look at the call again.
func (e *entry) dueAt(l *Limits) time.Time {
	if e.state != stateRunning {
		return e.Deadline
	}
	if !e.orphanedAt.IsZero() && !e.cancelSent {
		return e.orphanedAt.Add(l.ResumeTime)
	}
	if e.Deadline.IsZero() {
		return time.Time{}
	}
	return e.Deadline.Add(l.LostTime)
}
