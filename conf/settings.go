// Package conf holds what people set: each process's settings and the
// operators' text of services and teams, with their checks.
package conf

import "time"

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// Settings are one process's settings, read from a file of JSON with comments.
type Settings struct {
	// Instance is the instance's name. Empty means the listen address.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance stands in.
	FailureDomain string `json:"failureDomain"`
	// Region is the region that the failure domain belongs to.
	Region string `json:"region"`
	// ListenAddress is where callers reach the instance, as IP:port.
	ListenAddress string `json:"listenAddress"`
	// AdminAddress is where operators reach the instance, as IP:port.
	AdminAddress string `json:"adminAddress"`
	// PeerAddress is where other instances reach the instance, as IP:port.
	PeerAddress string `json:"peerAddress"`
	// PlatformAddress is the platform's address, as IP:port.
	PlatformAddress string `json:"platformAddress"`
	// AdminKeyFile is a file with the first admin key, or with its SHA-256 as 64
	// hexadecimal digits. Empty means that BUCKTHORNTIDE_ADMIN_KEY holds it.
	AdminKeyFile string `json:"adminKeyFile"`
	// LogLevel is one of trace, debug, info, warn and error.
	LogLevel string `json:"logLevel"`
	// HeartbeatInterval is the time between two exchanges with a peer.
	HeartbeatInterval Duration `json:"heartbeatInterval"`
	// DelegationTTL is how long a seat's delegation to a home holds.
	DelegationTTL Duration `json:"delegationTTL"`
	// SeatTTL is how long a seat stays with an instance that no longer renews.
	SeatTTL Duration `json:"seatTTL"`
	// StoreTimeout bounds one request to the platform.
	StoreTimeout Duration `json:"storeTimeout"`
	// CommitInterval is how long turns gather before they are committed together.
	CommitInterval Duration `json:"commitInterval"`
	// DrainTimeout bounds how long a planned stop waits for running calls.
	DrainTimeout Duration `json:"drainTimeout"`
	// DrainNotice is how long a planned stop goes on taking calls after it has
	// told the balancer, which needs that time to see it.
	DrainNotice Duration `json:"drainNotice"`
	// IsolationTimeout is how long an instance that hears neither the platform
	// nor a peer goes on serving.
	IsolationTimeout Duration `json:"isolationTimeout"`
}

// DefaultSettings returns the settings that hold where a file says nothing.
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
		SeatTTL:           Duration(90 * time.Second),
		StoreTimeout:      Duration(2 * time.Second),
		CommitInterval:    Duration(10 * time.Millisecond),
		DrainTimeout:      Duration(30 * time.Second),
		DrainNotice:       Duration(2 * time.Second),
		IsolationTimeout:  Duration(2 * time.Second),
	}
}
