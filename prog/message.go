package prog

const (
	// KindModel is a call of a model service; its messages join the history.
	KindModel Kind = "model"
	// KindPlain is a call of a plain service; it takes a turn, but its answer
	// is stored for replays only.
	KindPlain Kind = "plain"
)

const (
	// OutcomeCompleted means that the whole answer was received.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed means that the call ended without an answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the caller or a deadline ended the call.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

const (
	// NotRun means that the call did not run and will not.
	NotRun RunState = "notRun"
	// Ran means that the call ran.
	Ran RunState = "ran"
	// Unknown means that the call may have run.
	Unknown RunState = "unknown"
)

type (
	// Kind is the kind of service that a call is for.
	Kind string
	// Outcome is how a call ended.
	Outcome string
	// RunState tells whether a refused call ran.
	RunState string

	// Message is one message of a conversation. Body is opaque: it holds the
	// bytes of the caller's protocol.
	Message struct {
		Role string `json:"role"`
		Body []byte `json:"body,omitempty"`
	}

	// Stored is the stored part of a completed call.
	Stored struct {
		Turn int `json:"turn"`
		// Kept reports that the turn is in the table.
		Kept         bool    `json:"kept"`
		Answer       Message `json:"answer"`
		PromptTokens int64   `json:"promptTokens"`
		AnswerTokens int64   `json:"answerTokens"`
		Engine       string  `json:"engine,omitempty"`
	}
)
