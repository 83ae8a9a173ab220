package main

// result is what one experiment measured; it is printed as one line of JSON.
type result struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Policy     string `json:"policy"`
	Instances  int    `json:"instances"`
	// Programs counts programs that ran to their end; ProgramsFailed those that
	// their callers gave up.
	Programs       int `json:"programs"`
	ProgramsFailed int `json:"programsFailed"`
	Calls          int `json:"calls"`
	// The latencies are of whole programs, without those of a noisy team.
	ProgramLatencyP50Ms float64 `json:"programLatencyP50Ms"`
	ProgramLatencyP95Ms float64 `json:"programLatencyP95Ms"`
	ProgramLatencyP99Ms float64 `json:"programLatencyP99Ms"`
	// IdealLatencyP99Ms is of the same programs without queueing and with a
	// warm cache.
	IdealLatencyP99Ms float64 `json:"idealLatencyP99Ms"`
	// WastedCacheRatio is prompt tokens computed again over prompt tokens.
	WastedCacheRatio float64 `json:"wastedCacheRatio"`
	// WorstTeamRatio is the worst team's p95 slowdown over the median team's,
	// without a noisy team.
	WorstTeamRatio float64 `json:"worstTeamRatio"`
	// WrongfulRefusals counts attempts that were refused although the team was
	// within its grant; Refusals counts all that were refused.
	WrongfulRefusals int `json:"wrongfulRefusals"`
	Refusals         int `json:"refusals"`
	// OverGranted counts calls beyond rate × time + burst, over all teams.
	OverGranted int64 `json:"overGranted"`
	// DoubleRuns counts runs beyond the first of calls that may not repeat.
	DoubleRuns int `json:"doubleRuns"`
	// FalseNotRun counts refusals that said notRun of a call that had run.
	FalseNotRun int `json:"falseNotRun"`
	TurnsLost   int `json:"turnsLost"`
	TurnsMixed  int `json:"turnsMixed"`
	// AnswersBroken counts whole answers that are not the engine's whole text.
	AnswersBroken int   `json:"answersBroken"`
	KeysLeaked    int64 `json:"keysLeaked"`
	// CutOff counts requests whose connection ended before the answer.
	CutOff int `json:"cutOff"`
	// OutcomesUnknown counts calls that ended without a known outcome.
	OutcomesUnknown int `json:"outcomesUnknown"`
	// ColdOverloads counts calls sent to a cold engine beyond what it bears.
	ColdOverloads int64 `json:"coldOverloads"`
	EngineCrashes int64 `json:"engineCrashes"`
	// HeldPrefixes counts caches of ended programs at the end.
	HeldPrefixes int `json:"heldPrefixes"`
	// DomainLastWorkMs is the time from an accepted change that took a failure
	// domain out to the last new work there; -1 if none was taken out.
	DomainLastWorkMs float64 `json:"domainLastWorkMs"`
	// WritesPerCall is the platform's transactions over the calls.
	WritesPerCall float64 `json:"writesPerCall"`
	ReadsPerCall  float64 `json:"readsPerCall"`
}
