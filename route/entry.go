package route

import "time"

const (
	stateQueued state = iota + 1
	stateSuspect
	stateRunning
)

type (
	// state is the scheduling state of a call.
	state int

	// entry is a queued or running call.
	entry struct {
		Call
		state state
		// attempt counts the assignments.
		attempt int
		// begun reports that an upstream may have run the call.
		begun bool
		// wasBegun is the value of begun before the running attempt.
		wasBegun bool
		// queuedAt is when the call was submitted; key is its order within its
		// team.
		queuedAt time.Time
		key      time.Time
		team     *team
		// queue is the fair queue that holds the call.
		queue *fairQueue
		// index and dueIndex are its positions in the team's heap and the heap of
		// due calls.
		index    int
		dueIndex int

		upstream *upstream
		// startedAt, generation and cost belong to the running attempt.
		startedAt  time.Time
		generation int64
		cost       float64
		// backlog is the prefill time expected before this call's own prefill.
		backlog  time.Duration
		uncached int
		// isolated reports that the call runs as a suspect.
		isolated bool
		// orphanedAt is when the relay was lost; zero while the call has one.
		orphanedAt time.Time
		cancelSent bool
	}
)

// runState returns what is known about the call's execution so far.
func (e *entry) runState() RunState {
	if e.begun {
		return RunStateUnknown
	}
	return RunStateNotRun
}

// dueAt returns when Tick must handle the call; zero means never.
func (e *entry) dueAt(l *Limits) time.Time {
	if e.state != stateRunning {
		return e.Deadline
	}
	if !e.orphanedAt.IsZero() && !e.cancelSent {
		return e.orphanedAt.Add(l.ResumeTimeout)
	}
	if e.Deadline.IsZero() {
		return time.Time{}
	}
	return e.Deadline.Add(l.ReportTimeout)
}
