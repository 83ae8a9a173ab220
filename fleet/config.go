package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

// Config identifies the instance of a Fleet and sets its intervals.
type Config struct {
	// Self is this instance.
	Self store.Instance
	// Epoch distinguishes this process from earlier ones of the same instance
	// name. It is drawn at random at process start and must not be zero.
	Epoch uint64
	// HeartbeatInterval is the time between two exchanges with a peer.
	HeartbeatInterval time.Duration
	// DelegationTTL is how long a delegation lasts in a fleet of up to
	// ttlScalingMembers instances.
	DelegationTTL time.Duration
	// SlotTTL is how long an instance keeps its lease slots after its last
	// renewal.
	SlotTTL time.Duration
	// IsolationTimeout is how long an instance serves on without contact to the
	// platform or any peer.
	IsolationTimeout time.Duration
}

// NewConfig returns the Config that follows from the settings. Without a
// configured instance name the listen address serves as the name.
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
		SlotTTL:           time.Duration(s.LeaseSlotTTL),
		IsolationTimeout:  time.Duration(s.IsolationTimeout),
	}
}
