package conf

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checkSettings adds a fault for each invalid setting.
func checkSettings(d *document, s Settings) {
	checkOwnAddresses(d, []addressField{
		{"listenAddress", s.ListenAddress},
		{"adminAddress", s.AdminAddress},
		{"peerAddress", s.PeerAddress},
		{"platformAddress", s.PlatformAddress},
	})
	checkDurations(d, reflect.ValueOf(s))
	for _, f := range []struct{ field, value string }{
		{"failureDomain", s.FailureDomain},
		{"region", s.Region},
	} {
		if fault := nameFault(f.value); fault != "" {
			d.fault(root().member(f.field), fault)
		}
	}
	checkLogLevel(d, s.LogLevel)
}

// addressField is an address and the name of its field.
type addressField struct{ field, address string }

// checkOwnAddresses adds a fault for each address that is not IP:port or is
// already used by another field.
func checkOwnAddresses(d *document, addresses []addressField) {
	seen := make(map[string]string)
	for _, a := range addresses {
		p := root().member(a.field)
		if !isListenAddress(a.address) {
			d.fault(p, mustBeIPPort)
			continue
		}
		if other, taken := seen[a.address]; taken && !strings.HasSuffix(a.address, ":0") {
			d.fault(p, fmt.Sprintf("%s has the address %s too", other, a.address))
		}
		seen[a.address] = a.field
	}
}

// checkDurations adds a fault for each duration that is not positive.
func checkDurations(d *document, v reflect.Value) {
	for i := range v.NumField() {
		if v.Field(i).Type() != durationType || v.Field(i).Int() > 0 {
			continue
		}
		d.fault(root().member(v.Type().Field(i).Tag.Get("json")), mustBeAboveZero)
	}
}

// isListenAddress reports whether the address is IP:port. Port zero is allowed:
// the system then chooses a free port.
func isListenAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
