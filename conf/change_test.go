package conf

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDiff(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"nothing", `fit`, `fit`, nil},
		{"comment only", `// Two`, `// 2`, nil},
		{"rate", `"ratePerSecond": 10`, `"ratePerSecond": 11`, []string{"team atlas: grant ratePerSecond 10 -> 11"}},
		{"budget", `"calls": 9`, `"tokens": 9`, []string{"team atlas: budget calls 9 -> 0", "team atlas: budget tokens 0 -> 9"}},
		{"all services", `"services": ["fit"], `, ``, []string{"team atlas: may call fit -> all services"}},
		{"more services", `"services": ["fit"], `, `"services": ["pay", "fit"], `, []string{"team atlas: may now call: pay"}},
		{"team renamed", `"atlas"`, `"fes"`, []string{"team atlas: removed", "team fes: added"}},
		{"upstream domain", `"10.0.1.1:80", "failureDomain": "a"`, `"10.0.1.1:80", "failureDomain": "b"`, []string{"upstream pay-1: moved from failure domain a to b"}},
		{"address", `10.0.1.1:80`, `10.0.1.1:81`, []string{"upstream pay-1: address 10.0.1.1:80 -> 10.0.1.1:81"}},
		{"route", `{"path": "/deposits"}`, `{"path": "/deposits", "repeatable": true}`, []string{"service pay route /deposits: repeatable false -> true"}},
		{"dependency", `"dependsOn": ["pay"],`, ``, []string{"service fit: no longer depends on: pay"}},
		{"domain back", `["b"]`, `["a"]`, []string{"failure domains: taken out: a", "failure domains: brought back: b"}},
		{"credential unseen", `"kind": "plain"`, `"kind": "plain", "credential": "secret"`, []string{"service pay: credential changed"}},
		{"loads", `: 6}`, `: 7}`, []string{"weight store: loadsPerMinute 6 -> 7"}},
	}
	older := mustParse(t, goodText)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newer := mustParse(t, strings.Replace(goodText, tt.old, tt.new, 1))
			var lines []string
			for _, c := range Diff(older, newer) {
				lines = append(lines, c.String())
			}
			assert.DeepEqual(t, lines, tt.want)
		})
	}
}

func TestDiffReportsAnUpstreamMovedBetweenServices(t *testing.T) {
	u := Upstream{Name: "u"}
	older := Text{Services: []Service{{Name: "a", Upstreams: []Upstream{u}}, {Name: "b"}}}
	newer := Text{Services: []Service{{Name: "b", Upstreams: []Upstream{u}}, {Name: "a"}}}
	assert.DeepEqual(t, Diff(older, newer), []Change{{"upstream u", "moved from service a to b"}})
}

func ExampleDiff() {
	older := Text{Teams: []Team{{Name: "atlas", RatePerSecond: 10}}}
	newer := Text{Teams: []Team{{Name: "atlas", RatePerSecond: 12}, {Name: "fes"}}}
	for _, c := range Diff(older, newer) {
		fmt.Println(c)
	}
	// Output:
	// team atlas: grant ratePerSecond 10 -> 12
	// team fes: added
}
