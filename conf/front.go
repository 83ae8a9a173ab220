package conf

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// FrontSettings are the settings of an instance that serves requests on the
// platform, read from a file in JSON with comments.
type FrontSettings struct {
	// Instance is the unique name of the instance.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the address for callers, as IP:port.
	CallerAddress string `json:"callerAddress"`
	// ReadyAddress is the address for readiness probes of the load balancer, as
	// IP:port.
	ReadyAddress string `json:"readyAddress"`
	// PeerAddress is the address for other instances, as IP:port.
	PeerAddress string `json:"peerAddress"`
	// Seeds are peer addresses of other instances, as IP:port, from which an
	// instance that can't read the store learns of the deployment. They may be out
	// of date.
	Seeds []string `json:"seeds"`
	// MetricsAddress is the address for metrics and the state dump, as IP:port.
	MetricsAddress string `json:"metricsAddress"`
	// StoreAddress is the address of the platform's store, as IP:port.
	StoreAddress string `json:"storeAddress"`
	// StoreWriteRate is how many write calls a second the store takes from all
	// instances together.
	StoreWriteRate int `json:"storeWriteRate"`
	// RowBytes is the maximum size of a row's value in the store, in bytes.
	RowBytes int `json:"rowBytes"`
	// MemoryMB is the memory limit of the process, in MB.
	MemoryMB int `json:"memoryMB"`
	// MaxDescriptors is the limit of the process's open file descriptors.
	MaxDescriptors int `json:"maxDescriptors"`
	// KeyRevocation is the maximum time until a withdrawn key is refused.
	KeyRevocation Duration `json:"keyRevocation"`
	// ConfigDelay is the maximum time until a new configuration is in force.
	ConfigDelay Duration `json:"configDelay"`
	// QuotaWindow is the time window over which a team's rate and burst are
	// enforced.
	QuotaWindow Duration `json:"quotaWindow"`
	// StopGrace is the time between the stop signal and the kill of the process.
	StopGrace Duration `json:"stopGrace"`
	// ColdOverage is the load that a cold upstream can bear, as a multiple of its
	// rate.
	ColdOverage float64 `json:"coldOverage"`
	// FirstStart is true if the instances start for the first time, so that no
	// earlier process can have left any state.
	FirstStart bool `json:"firstStart"`
	// LogLevel is the minimum log level: trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// DefaultFrontSettings returns the values of the fields that a file omits.
func DefaultFrontSettings() FrontSettings {
	return FrontSettings{
		Instance:       "front-1",
		FailureDomain:  "a",
		CallerAddress:  "127.0.0.1:8080",
		ReadyAddress:   "127.0.0.1:8081",
		PeerAddress:    "127.0.0.1:8082",
		MetricsAddress: "127.0.0.1:8083",
		StoreAddress:   "127.0.0.1:7000",
		StoreWriteRate: 800,
		RowBytes:       64 << 10,
		MemoryMB:       154,
		MaxDescriptors: 1024,
		KeyRevocation:  Duration(5 * time.Second),
		ConfigDelay:    Duration(2 * time.Second),
		QuotaWindow:    Duration(5 * time.Second),
		StopGrace:      Duration(8 * time.Second),
		ColdOverage:    1.5,
		LogLevel:       "info",
	}
}

// ParseFrontSettings parses settings in JSON with comments. Omitted fields have
// their default values. If the settings are invalid, it returns empty settings
// and a *FaultsError with all faults.
func ParseFrontSettings(source []byte) (FrontSettings, error) {
	d, err := parseDocument(source)
	if err != nil {
		return FrontSettings{}, err
	}
	s := DefaultFrontSettings()
	d.decode(&d.root, nil, reflect.ValueOf(&s).Elem())
	checkFrontSettings(d, s)
	if err := d.err(); err != nil {
		return FrontSettings{}, err
	}
	return s, nil
}

func checkFrontSettings(d *document, s FrontSettings) {
	checkOwnAddresses(d, []addressField{
		{"callerAddress", s.CallerAddress},
		{"readyAddress", s.ReadyAddress},
		{"peerAddress", s.PeerAddress},
		{"metricsAddress", s.MetricsAddress},
		{"storeAddress", s.StoreAddress},
	})
	checkDurations(d, reflect.ValueOf(s))
	checkLogLevel(d, s.LogLevel)
	for i, seed := range s.Seeds {
		if !isListenAddress(seed) {
			d.fault(root().member("seeds").element(i), mustBeIPPort)
		}
	}
	for _, f := range []struct{ field, value string }{
		{"instance", s.Instance},
		{"failureDomain", s.FailureDomain},
	} {
		if f.value == "" {
			d.fault(root().member(f.field), "must not be empty")
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"storeWriteRate", float64(s.StoreWriteRate)},
		{"rowBytes", float64(s.RowBytes)},
		{"memoryMB", float64(s.MemoryMB)},
		{"maxDescriptors", float64(s.MaxDescriptors)},
		{"coldOverage", s.ColdOverage},
	} {
		if f.value <= 0 {
			d.fault(root().member(f.field), mustBeAboveZero)
		}
	}
}

func checkLogLevel(d *document, level string) {
	if !slices.Contains(logLevels, level) {
		d.fault(root().member("logLevel"), fmt.Sprintf("unknown level %q; use one of %s", level, strings.Join(logLevels, ", ")))
	}
}
