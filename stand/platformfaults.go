package stand

import "github.com/buckthorntide/buckthorntide/conf"

const (
	// DownNo means that the platform answers.
	DownNo Down = ""
	// DownDrop means that connections are dropped before anything is applied.
	DownDrop Down = "drop"
	// DownHang means that requests get no answer until the fault is lifted.
	DownHang Down = "hang"
)

type (
	// Down says how the platform fails.
	Down string

	// PlatformFaults are the faults that the platform shows.
	PlatformFaults struct {
		// Slow delays every answer.
		Slow conf.Duration `json:"slow"`
		// Down makes the whole platform fail.
		Down Down `json:"down"`
		// TableDown drops the connections of the table service's requests only.
		TableDown bool `json:"tableDown"`
		// LoseNext drops the answers of that many commits after applying them.
		LoseNext int `json:"loseNext"`
		// LoseProbability drops a commit's answer after applying it.
		LoseProbability float64 `json:"loseProbability"`
	}
)
