package stand

// PlatformStats are the platform's counts.
type PlatformStats struct {
	// Reads counts gets and ranges.
	Reads int64 `json:"reads"`
	// Commits counts transactions that were applied.
	Commits int64 `json:"commits"`
	// Conflicts counts transactions whose conditions did not hold.
	Conflicts int64 `json:"conflicts"`
	// RowsWritten counts rows put or deleted.
	RowsWritten int64 `json:"rowsWritten"`
	// AnswersLost counts commits that were applied and not answered.
	AnswersLost int64 `json:"answersLost"`
	// Dropped counts requests that met the platform while it was down.
	Dropped int64 `json:"dropped"`
	// Rows is the number of rows.
	Rows int `json:"rows"`
	// Objects is the number of objects.
	Objects int `json:"objects"`
	// ObjectWrites counts objects put or deleted.
	ObjectWrites int64 `json:"objectWrites"`
	// ObjectReads counts objects read or listed.
	ObjectReads int64 `json:"objectReads"`
	// LeakedKeys counts requests that held a caller's key in clear.
	LeakedKeys int64 `json:"leakedKeys"`
}
