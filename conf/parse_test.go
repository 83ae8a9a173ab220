package conf

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// goodText is a valid text, which the test tables modify.
const goodText = `{
  // Two services, of which one needs the other.
  "services": [
    {"name": "fit", "kind": "model", "models": ["obi-1"], "dependsOn": ["pay"],
     "upstreams": [
       {"name": "engine-1", "address": "10.0.0.1:9000", "failureDomain": "a", "slots": 8, "coldSlots": 2},
       {"name": "engine-2", "address": "10.0.0.2:9000", "failureDomain": "b", "slots": 8, "coldSlots": 2},
     ]},
    {"name": "pay", "kind": "plain",
     "upstreams": [{"name": "pay-1", "address": "10.0.1.1:80", "failureDomain": "a"}],
     "routes": [{"path": "/deposits"}]},
  ],
  "teams": [
    {"name": "atlas", "ratePerSecond": 10, "burst": 20, "services": ["fit"], "budget": {"calls": 9}},
  ],
  "domainsOut": ["b"],
  "weightStore": {"loadsPerMinute": 6},
}
`

func faultsOf(t *testing.T, err error) []Fault {
	t.Helper()
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults), "got %v", err)
	return faults.Faults
}

func TestParseTextReadsEveryField(t *testing.T) {
	text, err := ParseText([]byte(goodText))
	assert.NilError(t, err)
	fit, ok := text.Service("fit")
	assert.Assert(t, ok)
	assert.DeepEqual(t, fit.DependsOn, []string{"pay"})
	assert.Equal(t, fit.Upstreams[1].Address, "10.0.0.2:9000")
	team, ok := text.Team("atlas")
	assert.Assert(t, ok)
	assert.Equal(t, team.Budget.Calls, int64(9))
	assert.Assert(t, text.DomainOut("b"))
	assert.DeepEqual(t, text.Domains(), []string{"a", "b"})
	assert.NilError(t, text.Check())
}

func TestParseTextFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           Fault
	}{
		{"syntax", `"kind": "plain",`, `"kind": "plain"`, Fault{10, "", "column 6: invalid character '\"' after object value (expecting ',' or '}')"}},
		{"unknown field", `"budget": {"calls"`, `"budget": {"colour"`, Fault{14, "teams[0].budget.colour", "unknown field"}},
		{"other case", `"slots": 8, "coldSlots": 2},
     ]`, `"Slots": 8},
     ]`, Fault{7, "services[0].upstreams[1].Slots", "unknown field"}},
		{"field twice", `"burst": 20`, `"burst": 20, "burst": 30`, Fault{14, "teams[0].burst", "field is given twice"}},
		{"text for number", `"ratePerSecond": 10`, `"ratePerSecond": "10"`, Fault{14, "teams[0].ratePerSecond", wantNumber}},
		{"fraction for integer", `"calls": 9`, `"calls": 9.5`, Fault{14, "teams[0].budget.calls", wantWhole}},
		{"number for text", `"name": "fit"`, `"name": 7`, Fault{4, "services[0].name", wantText}},
		{"object for array", `["b"]`, `{}`, Fault{16, "domainsOut", wantArray}},
		{"array for object", `{"loadsPerMinute": 6}`, `[]`, Fault{17, "weightStore", wantObject}},
		{"missing name", `"name": "atlas", `, ``, Fault{14, "teams[0].name", "the name is missing"}},
		{"service twice", `"name": "pay"`, `"name": "fit"`, Fault{9, "services[1].name", `the name "fit" is given twice`}},
		{"upstream twice", `"engine-2"`, `"engine-1"`, Fault{7, "services[0].upstreams[1].name", `the name "engine-1" is given twice`}},
		{"unknown dependency", `["pay"]`, `["bank"]`, Fault{4, "services[0].dependsOn[0]", `unknown service "bank"; the text lists no service of this name`}},
		{"address twice", `10.0.0.2:9000`, `[::ffff:10.0.0.1]:9000`, Fault{7, "services[0].upstreams[1].address", `the upstream "engine-1" has the address [::ffff:10.0.0.1]:9000 too`}},
		{"host name", `10.0.0.2:9000`, `engine.local:9000`, Fault{7, "services[0].upstreams[1].address", mustBeIPPort}},
		{"no port", `10.0.0.2:9000`, `10.0.0.2`, Fault{7, "services[0].upstreams[1].address", mustBeIPPort}},
		{"port zero", `10.0.0.2:9000`, `10.0.0.2:0`, Fault{7, "services[0].upstreams[1].address", mustBeIPPort}},
		{"rate zero", `"ratePerSecond": 10`, `"ratePerSecond": 0`, Fault{14, "teams[0].ratePerSecond", mustBeAboveZero}},
		{"rate negative", `"ratePerSecond": 10`, `"ratePerSecond": -1`, Fault{14, "teams[0].ratePerSecond", mustBeAboveZero}},
		{"infinite rate", `"ratePerSecond": 10`, `"ratePerSecond": 1e999`, Fault{14, "teams[0].ratePerSecond", wantNumber}},
		{"rate omitted", `"ratePerSecond": 10, `, ``, Fault{14, "teams[0].ratePerSecond", mustBeAboveZero}},
		{"burst under one", `"burst": 20`, `"burst": 0.5`, Fault{14, "teams[0].burst", mustBeOneOrMore}},
		{"unknown kind", `"plain"`, `"tcp"`, Fault{9, "services[1].kind", `unknown kind "tcp"; use "model" or "plain"`}},
		{"unknown team service", `"services": ["fit"]`, `"services": ["fat"]`, Fault{14, "teams[0].services[0]", `unknown service "fat"; the text lists no service of this name`}},
		{"unknown domain out", `["b"]`, `["c"]`, Fault{16, "domainsOut[0]", `unknown failure domain "c"`}},
		{"domain not listed", `"domainsOut": ["b"]`, `"failureDomains": ["a"]`, Fault{7, "services[0].upstreams[1].failureDomain", `unknown failure domain "b"; failureDomains doesn't list it`}},
		{"route without slash", `/deposits`, `deposits`, Fault{11, "services[1].routes[0].path", "must start with a slash"}},
		{"route twice", `{"path": "/deposits"}`, `{"path": "/deposits"}, {"path": "/deposits"}`, Fault{11, "services[1].routes[1].path", `the path "/deposits" is given twice`}},
		{"negative budget", `"calls": 9`, `"calls": -9`, Fault{14, "teams[0].budget.calls", mustNotBeNegative}},
		{"negative slots", `"slots": 8, "coldSlots": 2},
     ]`, `"slots": -8},
     ]`, Fault{7, "services[0].upstreams[1].slots", mustNotBeNegative}},
		{"negative loads", `: 6}`, `: -6}`, Fault{17, "weightStore.loadsPerMinute", mustNotBeNegative}},
		{"more cold slots than slots", `"coldSlots": 2},
     ]`, `"coldSlots": 9},
     ]`, Fault{7, "services[0].upstreams[1].coldSlots", "must not be above slots"}},
		{"own dependency", `["pay"]`, `["fit"]`, Fault{4, "services[0].dependsOn[0]", "dependency cycle: fit -> fit"}},
		{"cycle", `"name": "pay", `, `"name": "pay", "dependsOn": ["fit"], `, Fault{9, "services[1].dependsOn[0]", "dependency cycle: fit -> pay -> fit"}},
		{"too deep", `["b"]`, strings.Repeat("[", 40), Fault{16, "", "nested deeper than 32 brackets"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(goodText, tt.old))
			text, err := ParseText([]byte(strings.Replace(goodText, tt.old, tt.new, 1)))
			faults := faultsOf(t, err)
			assert.Assert(t, slices.Contains(faults, tt.want), "got %v", faults)
			assert.DeepEqual(t, text, Text{})
		})
	}
}

func TestParseTextListsAllFaults(t *testing.T) {
	source := strings.NewReplacer("10.0.0.1:9000", "host:1", `"burst": 20`, `"burst": 0`, `"calls"`, `"cals"`).Replace(goodText)
	_, err := ParseText([]byte(source))
	assert.Equal(t, len(faultsOf(t, err)), 3)
	assert.Error(t, err, "line 6: services[0].upstreams[0].address: "+mustBeIPPort+
		"\nline 14: teams[0].budget.cals: unknown field"+
		"\nline 14: teams[0].burst: must be at least 1")
}

func TestCheckRefusesNumbersOutsideJSON(t *testing.T) {
	for _, n := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		text := Text{Teams: []Team{{Name: "t", RatePerSecond: n, Burst: 1}}}
		faults := faultsOf(t, text.Check())
		assert.DeepEqual(t, faults, []Fault{{0, "teams[0].ratePerSecond", mustBeAboveZero}})
	}
}

func TestParseSettings(t *testing.T) {
	tests := []struct {
		name, source string
		want         []Fault
	}{
		{"defaults", `{}`, nil},
		{"comments", "// Ours.\n{\"seatTTL\": \"2m\",}", nil},
		{"unknown", `{"speed": 1}`, []Fault{{1, "speed", "unknown field"}}},
		{"number for duration", `{"seatTTL": 90}`, []Fault{{1, "seatTTL", wantDuration}}},
		{"unit missing", `{"seatTTL": "90"}`, []Fault{{1, "seatTTL", wantDuration}}},
		{"zero duration", "{\n\"seatTTL\": \"0s\"}", []Fault{{2, "seatTTL", mustBeAboveZero}}},
		{"host name", `{"peerAddress": "localhost:1"}`, []Fault{{1, "peerAddress", mustBeIPPort}}},
		{"same address", `{"peerAddress": "127.0.0.1:8080"}`, []Fault{{1, "peerAddress", "listenAddress has the address 127.0.0.1:8080 too"}}},
		{"free ports", `{"listenAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0"}`, nil},
		{"level", `{"logLevel": "loud"}`, []Fault{{1, "logLevel", `unknown level "loud"; use one of trace, debug, info, warn, error`}}},
		{"no domain", `{"failureDomain": ""}`, []Fault{{1, "failureDomain", "the name is missing"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := ParseSettings([]byte(tt.source))
			if tt.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.DeepEqual(t, faultsOf(t, err), tt.want)
			assert.DeepEqual(t, s, Settings{})
		})
	}
}

func TestRouteMatchesTheLongestPrefixOfSegments(t *testing.T) {
	s := Service{Routes: []Route{{Path: "/a"}, {Path: "/a/b"}, {Path: "/c/"}}}
	tests := []struct {
		path, want string
		found      bool
	}{
		{"/a", "/a", true},
		{"/a/x", "/a", true},
		{"/a/b/x", "/a/b", true},
		{"/ab", "", false},
		{"/c/x", "/c/", true},
		{"/c", "", false},
	}
	for _, tt := range tests {
		r, found := s.Route(tt.path)
		assert.Equal(t, found, tt.found, tt.path)
		assert.Equal(t, r.Path, tt.want, tt.path)
	}
}
