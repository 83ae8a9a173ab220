package budget

import (
	"time"

	"github.com/buckthorntide/buckthorntide/peer"
)

// Outcomes of a reservation at a program's home.
const (
	// Unavailable: the remaining budget can't be determined now.
	Unavailable Outcome = iota
	// Reserved: the tokens are the asker's until it settles.
	Reserved
	// Spent: the budget has too few tokens left.
	Spent
	// Waiting: nothing is reserved yet, and the home waits for the store.
	Waiting
)

type (
	// Outcome is the result of a reservation at a program's home.
	Outcome int

	// ReserveRequest asks a program's home to reserve the tokens of one turn.
	ReserveRequest struct {
		// ID names the reservation.
		ID        string        `json:"id"`
		Program   string        `json:"program"`
		Total     int           `json:"total"`
		MaxTokens int           `json:"most"`
		Wait      time.Duration `json:"wait"`
	}

	// ReserveReply is the outcome.
	ReserveReply struct {
		Outcome Outcome `json:"outcome"`
	}

	// SettleRequest ends a reservation, or cancels one that may have been made.
	SettleRequest struct {
		ID string `json:"id"`
		// Tokens are those that the turn handed out.
		Tokens int `json:"tokens"`
	}

	// SettleReply confirms the end.
	SettleReply struct{}

	// ReleaseRequest asks an instance to return the tokens of a program that its
	// turns in flight don't need.
	ReleaseRequest struct {
		Program string `json:"program"`
	}

	// ReleaseReply reports the tokens that the instance returned.
	ReleaseReply struct {
		// Holder is the name under which the program's row records the tokens.
		Holder string `json:"holder"`
		// Freed is the number of tokens that the holder no longer has.
		Freed int `json:"freed"`
	}

	// ProvisionalRequest asks a program's home for a provisional allocation while the
	// store is down.
	ProvisionalRequest struct {
		Holder    string `json:"holder"`
		Program   string `json:"program"`
		Total     int    `json:"total"`
		MaxTokens int    `json:"most"`
	}

	// ProvisionalReply returns the tokens that the holder may hand out.
	ProvisionalReply struct {
		Tokens int `json:"tokens"`
	}

	// EndProvisionalsRequest asks a program's home to grant no further provisional
	// allocations.
	EndProvisionalsRequest struct {
		Program string `json:"program"`
	}

	// HandoverRequest asks an instance whether it knows that the process is listed, and has
	// recorded all that it granted to programs of which that is the home.
	HandoverRequest struct {
		Process string `json:"process"`
	}

	// HandoverReply is the answer.
	HandoverReply struct {
		// Process is the one that answers.
		Process string `json:"process"`
		Done    bool   `json:"done"`
		// RecordedFor is for how long the store has had all that the process granted.
		RecordedFor time.Duration `json:"recordedFor"`
	}

	// EndAtRequest asks an instance that may have been a program's home to grant nothing
	// more to it.
	EndAtRequest struct {
		// Process is the one that is meant.
		Process string `json:"process"`
		Program string `json:"program"`
	}

	// EndAtReply returns what the instance granted.
	EndAtReply struct {
		// Process is the one that answers.
		Process string `json:"process"`
		// Holders are the sums by holder.
		Holders map[string]int `json:"holders"`
	}

	// EngageRequest makes an instance a witness of a process whose row on the roster names
	// it, or tells it that the store has all grants of earlier periods.
	EngageRequest struct {
		// Witness is the process that is meant; one that has started since doesn't know what
		// it has permitted.
		Witness string `json:"witness"`
		Process string `json:"process"`
		Epoch   int64  `json:"epoch"`
		Period  int64  `json:"period"`
	}

	// EngageReply is the answer.
	EngageReply struct {
		Engaged bool `json:"engaged"`
	}

	// PermitRequest asks a witness to permit grants to a program without the store.
	PermitRequest struct {
		Process string `json:"process"`
		Epoch   int64  `json:"epoch"`
		Period  int64  `json:"period"`
		Program string `json:"program"`
	}

	// PermitReply is the answer.
	PermitReply struct {
		// Witness is the process that answers.
		Witness   string `json:"witness"`
		Permitted bool   `json:"permitted"`
	}

	// RevokeRequest asks a witness to refuse the process its permission from now on, if it
	// has not given it.
	RevokeRequest struct {
		Process string `json:"process"`
		Epoch   int64  `json:"epoch"`
		// Program is the one that the process may grant nothing to; empty means all.
		Program string `json:"program"`
	}

	// RevokeReply is the answer; a witness that the process has not engaged does neither.
	RevokeReply struct {
		Revoked bool `json:"revoked"`
		// Permitted is set if it has given the permission before.
		Permitted bool `json:"permitted"`
	}

	// Ended has all provisional allocations of a program that gets no further ones.
	Ended struct {
		// Holders are the sums by holder.
		Holders map[string]int `json:"holders"`
		// Losses are the processes of which one may have granted others before.
		Losses []string `json:"losses,omitempty"`
	}
)

// RPC methods that instances serve.
var (
	Reserve          = peer.Method[ReserveRequest, ReserveReply]{Name: "BudgetReserve"}
	Settle           = peer.Method[SettleRequest, SettleReply]{Name: "BudgetSettle"}
	Release          = peer.Method[ReleaseRequest, ReleaseReply]{Name: "BudgetRelease"}
	EndProvisionals  = peer.Method[EndProvisionalsRequest, Ended]{Name: "BudgetEndAdvances"}
	Handover         = peer.Method[HandoverRequest, HandoverReply]{Name: "BudgetHandover"}
	EndAt            = peer.Method[EndAtRequest, EndAtReply]{Name: "BudgetEndAt"}
	Engage           = peer.Method[EngageRequest, EngageReply]{Name: "BudgetEngage"}
	Permit           = peer.Method[PermitRequest, PermitReply]{Name: "BudgetPermit"}
	Revoke           = peer.Method[RevokeRequest, RevokeReply]{Name: "BudgetRevoke"}
	GrantProvisional = peer.Method[ProvisionalRequest, ProvisionalReply]{Name: "BudgetAdvance"}
)
