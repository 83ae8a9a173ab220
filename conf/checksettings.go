package conf

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checkSettings notes everything in the settings that a process can't run
// with.
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

// addressField is an address with the name of its field.
type addressField struct{ field, address string }

// checkOwnAddresses notes addresses that are not IP:port and ones that are
// given twice.
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

// checkDurations notes every duration that is not above zero.
func checkDurations(d *document, v reflect.Value) {
	for i := range v.NumField() {
		if v.Field(i).Type() != durationType || v.Field(i).Int() > 0 {
			continue
		}
		d.fault(root().member(v.Type().Field(i).Tag.Get("json")), mustBeAboveZero)
	}
}

// isListenAddress says that the address is IP:port; port zero, which asks the
// system for a free port, is allowed.
func isListenAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
