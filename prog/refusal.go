package prog

const (
	// ReasonUnknownProgram says that there is no such program, or that it is
	// another team's.
	ReasonUnknownProgram Reason = "unknownProgram"
	// ReasonEnded says that the program has ended.
	ReasonEnded Reason = "programEnded"
	// ReasonBudgetCalls says that the budget of calls is used up.
	ReasonBudgetCalls Reason = "budgetCalls"
	// ReasonBudgetTokens says that too few tokens are left.
	ReasonBudgetTokens Reason = "budgetTokens"
	// ReasonBudgetSeconds says that the program's time is over.
	ReasonBudgetSeconds Reason = "budgetSeconds"
	// ReasonConflict says that the call id was used with another request.
	ReasonConflict Reason = "callConflict"
	// ReasonTurn says that the caller expected another turn.
	ReasonTurn Reason = "unexpectedTurn"
	// ReasonDeadline says that the call's turn did not come before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled says that the asker has withdrawn the call.
	ReasonCancelled Reason = "cancelled"
	// ReasonStore says that the store is needed and not reachable.
	ReasonStore Reason = "storeUnavailable"
	// ReasonMoved says that the home gave the shard up; the next home
	// has to be asked.
	ReasonMoved Reason = "homeMoved"
	// ReasonDamaged says that the stored history does not fit together.
	ReasonDamaged Reason = "historyDamaged"
	// ReasonQueueFull says that too many calls of the program wait.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooManyAgents says that the family has too many sub-agents.
	ReasonTooManyAgents Reason = "tooManyAgents"
	// ReasonInvalid says that the request's ids have not the right form.
	ReasonInvalid Reason = "invalidRequest"
	// ReasonOutcomeUnknown says that an earlier call with the key may have run.
	ReasonOutcomeUnknown Reason = "outcomeUnknown"
)

type (
	// Reason says why a request was refused.
	Reason string

	// Refusal is a typed refusal. It is an error, too.
	Refusal struct {
		Reason   Reason   `json:"reason"`
		RunState RunState `json:"runState"`
		// Retryable says that the same request may do better later or at the
		// next home.
		Retryable bool `json:"retryable,omitempty"`
	}
)

// Error returns the reason and the run state.
func (r *Refusal) Error() string {
	return string(r.Reason) + " (" + string(r.RunState) + ")"
}

func refuse(reason Reason) *Refusal {
	return &Refusal{Reason: reason, RunState: NotRun, Retryable: retryable(reason)}
}

func retryable(reason Reason) bool {
	switch reason {
	case ReasonStore, ReasonMoved, ReasonQueueFull:
		return true
	default:
		return false
	}
}
