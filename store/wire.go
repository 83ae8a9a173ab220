package store

// The paths of the platform's HTTP interface. Every body is JSON but for those
// of objects.
const (
	PathGet       = "/v1/table/get"
	PathRange     = "/v1/table/range"
	PathCommit    = "/v1/table/commit"
	PathObjects   = "/v1/objects"
	PathInstances = "/v1/instances"
)

type (
	// GetRequest asks for one row. The answer is a Row, or status 404.
	GetRequest struct {
		Key string `json:"key"`
	}

	// RangeRequest asks for rows in key order.
	RangeRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after,omitempty"`
		Limit  int    `json:"limit"`
	}

	// RangeReply is the answer to a RangeRequest.
	RangeReply struct {
		Rows []Row `json:"rows"`
	}

	// CommitReply is the answer to a Txn that was applied.
	CommitReply struct {
		Version int64 `json:"version"`
	}

	// ConflictReply is the answer, with status 409, to a Txn that was not
	// applied: the rows as they are whose conditions did not hold.
	ConflictReply struct {
		Rows []Row `json:"rows"`
	}

	// ObjectList is the answer to the listing of objects.
	ObjectList struct {
		Names []string `json:"names"`
	}

	// InstanceList is the answer to the listing of instances.
	InstanceList struct {
		Instances []Instance `json:"instances"`
	}
)
