package store

// The calls of a Platform.
const (
	OpGet           Operation = "get"
	OpRange         Operation = "range"
	OpCommit        Operation = "commit"
	OpPutObject     Operation = "putObject"
	OpGetObject     Operation = "getObject"
	OpListObjects   Operation = "listObjects"
	OpDeleteObject  Operation = "deleteObject"
	OpListInstances Operation = "listInstances"
	OpAnnounce      Operation = "announce"
)

const (
	// FaultNone lets a call through.
	FaultNone Fault = ""
	// FaultUnavailable returns ErrUnavailable and applies nothing.
	FaultUnavailable Fault = "unavailable"
	// FaultLost applies the call and returns ErrUnknown.
	FaultLost Fault = "lost"
	// FaultUnknown applies nothing and returns ErrUnknown.
	FaultUnknown Fault = "unknown"
)

type (
	// Operation names a call of a Platform.
	Operation string

	// Fault is what befalls a call of a Fake.
	Fault string

	// FakeCall is one call that a Fake received or expects. In an expectation
	// an empty Key matches every key.
	FakeCall struct {
		Operation Operation
		// Key is the row's key, the range's prefix, the object's or the
		// instance's name; for a commit it is the first written row's key.
		Key string
		// Fault is what befalls the call.
		Fault Fault
		// Txn is the transaction of a commit that was received.
		Txn Txn
	}
)

func (c FakeCall) matches(got FakeCall) bool {
	return c.Operation == got.Operation && (c.Key == "" || c.Key == got.Key)
}
