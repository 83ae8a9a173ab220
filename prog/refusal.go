package prog

const (
	// ReasonUnknownProgram means that the program doesn't exist or belongs to
	// another team.
	ReasonUnknownProgram Reason = "unknownProgram"
	// ReasonEnded means that the program has ended.
	ReasonEnded Reason = "programEnded"
	// ReasonBudgetCalls means that the budget of calls is exhausted.
	ReasonBudgetCalls Reason = "budgetCalls"
	// ReasonBudgetTokens means that too few tokens are left.
	ReasonBudgetTokens Reason = "budgetTokens"
	// ReasonBudgetSeconds means that the program's time is exhausted.
	ReasonBudgetSeconds Reason = "budgetSeconds"
	// ReasonConflict means that the call id was used with a different request.
	ReasonConflict Reason = "callConflict"
	// ReasonTurn means that the request refers to another turn than the next
	// one.
	ReasonTurn Reason = "unexpectedTurn"
	// ReasonDeadline means that the call's deadline passed before its turn.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller has withdrawn the call.
	ReasonCancelled Reason = "cancelled"
	// ReasonStore means that the store is required and unreachable.
	ReasonStore Reason = "storeUnavailable"
	// ReasonMoved means that this home gave up the shard; the caller asks the
	// next home.
	ReasonMoved Reason = "homeMoved"
	// ReasonDamaged means that the stored history is inconsistent.
	ReasonDamaged Reason = "historyDamaged"
	// ReasonQueueFull means that too many calls of the program are queued.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooManyAgents means that the family has too many sub-agents.
	ReasonTooManyAgents Reason = "tooManyAgents"
	// ReasonInvalid means that the request has malformed ids.
	ReasonInvalid Reason = "invalidRequest"
	// ReasonOutcomeUnknown means that an earlier call with the key may have
	// run.
	ReasonOutcomeUnknown Reason = "outcomeUnknown"
)

type (
	// Reason is why a request was refused.
	Reason string

	// Refusal describes why a request was refused. It implements error.
	Refusal struct {
		Reason   Reason   `json:"reason"`
		RunState RunState `json:"runState"`
		// Retryable is set if the same request may succeed later or at the
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
