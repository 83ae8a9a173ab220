package prog

const (
	// KindModel is a call of a model service; its messages join the history.
	KindModel Kind = "model"
	// KindPlain is a call of a plain service; it takes a turn, but its answer
	// is kept for replays only.
	KindPlain Kind = "plain"
)

const (
	// OutcomeCompleted says that the whole answer was received.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed says that the call ended without an answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled says that the caller or a deadline ended the call.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnknown says that nobody knows whether the call ran.
	OutcomeUnknown Outcome = "unknown"
)

const (
	// NotRun says that the call surely did not run and will not.
	NotRun RunState = "notRun"
	// Ran says that the call ran.
	Ran RunState = "ran"
	// Unknown says that the call may have run.
	Unknown RunState = "unknown"
)

type (
	// Kind says what sort of service a call is for.
	Kind string
	// Outcome is how a call ended.
	Outcome string
	// RunState says of a refused call whether it ran.
	RunState string

	// Message is one message of a conversation. Body holds the bytes of the
	// caller's own protocol and is not looked into.
	Message struct {
		Role string `json:"role"`
		Body []byte `json:"body,omitempty"`
	}

	// Stored is what is kept of a completed call.
	Stored struct {
		Turn int `json:"turn"`
		// Kept says that the turn is in the table.
		Kept         bool    `json:"kept"`
		Answer       Message `json:"answer"`
		PromptTokens int64   `json:"promptTokens"`
		AnswerTokens int64   `json:"answerTokens"`
		Engine       string  `json:"engine,omitempty"`
	}
)
