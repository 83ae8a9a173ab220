package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

// Config is what a Fleet is made with.
type Config struct {
	// Self is this instance.
	Self store.Instance
	// Epoch tells this process from earlier ones of the same name. It is drawn
	// at random at the start of the process and must not be zero.
	Epoch uint64
	// HeartbeatInterval is the time between two exchanges with a peer.
	HeartbeatInterval time.Duration
	// DelegationTTL is how long a delegation holds in a fleet that is small
	// enough for a full mesh.
	DelegationTTL time.Duration
	// SeatTTL is how long a seat stays with an instance that no longer renews.
	SlotTTL time.Duration
	// IsolationTimeout is how long an instance that hears neither the platform
	// nor a peer goes on serving.
	IsolationTimeout time.Duration
}

// NewConfig takes a Config from a process's settings.
func NewConfig(s conf.Settings, epoch uint64) Config {
	name := s.Instance
	if name == "" {
		name = s.ListenAddress
	}
	return Config{
		Self:              store.Instance{Name: name, Address: s.PeerAddress, FailureDomain: s.FailureDomain},
		Epoch:             epoch,
		HeartbeatInterval: time.Duration(s.HeartbeatInterval),
		DelegationTTL:     time.Duration(s.DelegationTTL),
		SlotTTL:           time.Duration(s.SeatTTL),
		IsolationTimeout:  time.Duration(s.IsolationTimeout),
	}
}
