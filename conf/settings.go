// Package conf defines, parses and validates the settings of a process and the
// operators' text: the configuration of services and teams that all instances
// share.
package conf

import "time"

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// Settings are the settings of a process, read from a file in JSON with comments.
type Settings struct {
	// Instance is the name of the instance; if empty, the listen address is used.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region string `json:"region"`
	// ListenAddress is the address for callers, as IP:port.
	ListenAddress string `json:"listenAddress"`
	// AdminAddress is the address for operators, as IP:port.
	AdminAddress string `json:"adminAddress"`
	// PeerAddress is the address for other instances, as IP:port.
	PeerAddress string `json:"peerAddress"`
	// PlatformAddress is the address of the platform, as IP:port.
	PlatformAddress string `json:"platformAddress"`
	// AdminKeyFile is the path of a file with the initial admin key or its SHA-256
	// hash in 64 hexadecimal digits. If empty, the environment variable
	// BUCKTHORNTIDE_ADMIN_KEY is used.
	AdminKeyFile string `json:"adminKeyFile"`
	// LogLevel is the minimum log level: trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// HeartbeatInterval is the interval between heartbeats to a peer.
	HeartbeatInterval Duration `json:"heartbeatInterval"`
	// DelegationTTL is how long a lease slot's delegation to a home is valid.
	DelegationTTL Duration `json:"delegationTTL"`
	// LeaseSlotTTL is how long the lease of a lease slot is valid without renewal.
	LeaseSlotTTL Duration `json:"seatTTL"`
	// StoreTimeout is the timeout of a request to the platform.
	StoreTimeout Duration `json:"storeTimeout"`
	// CommitInterval is how long turns are collected for a group commit.
	CommitInterval Duration `json:"commitInterval"`
	// DrainTimeout is the maximum time that a planned stop waits for running calls.
	DrainTimeout Duration `json:"drainTimeout"`
	// DrainNotice is how long an instance that stops still accepts calls after it
	// has reported that it is not ready, so that the load balancer can notice.
	DrainNotice Duration `json:"drainNotice"`
	// IsolationTimeout is how long an instance continues to serve while it reaches
	// neither the platform nor a peer.
	IsolationTimeout Duration `json:"isolationTimeout"`
}

// DefaultSettings returns the values of the fields that a file omits.
func DefaultSettings() Settings {
	return Settings{
		FailureDomain:     "a",
		Region:            "local",
		ListenAddress:     "127.0.0.1:8080",
		AdminAddress:      "127.0.0.1:8081",
		PeerAddress:       "127.0.0.1:8082",
		PlatformAddress:   "127.0.0.1:7000",
		LogLevel:          "info",
		HeartbeatInterval: Duration(time.Second),
		DelegationTTL:     Duration(3 * time.Second),
		LeaseSlotTTL:      Duration(90 * time.Second),
		StoreTimeout:      Duration(2 * time.Second),
		CommitInterval:    Duration(10 * time.Millisecond),
		DrainTimeout:      Duration(30 * time.Second),
		DrainNotice:       Duration(2 * time.Second),
		IsolationTimeout:  Duration(2 * time.Second),
	}
}
