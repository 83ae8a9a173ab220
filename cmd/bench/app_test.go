package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAppExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want int
		out  string
	}{
		{name: "list", args: []string{"-list"}, want: exitOK, out: "noisyTeam"},
		{name: "unknown experiment", args: []string{"-experiment", "none"}, want: exitUsage, out: "no such experiment"},
		{name: "unknown policy", args: []string{"-policy", "best"}, want: exitUsage, out: "no such policy"},
		{name: "unknown flag", args: []string{"-what"}, want: exitUsage, out: "what"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, NewApp(&out, &out).Run(c.args), c.want)
			assert.Assert(t, strings.Contains(out.String(), c.out), out.String())
		})
	}
}

func TestResultHasTheAgreedFields(t *testing.T) {
	raw, err := json.Marshal(result{})
	assert.NilError(t, err)
	fields := []string{
		"experiment", "seed", "policy", "programs", "programLatencyP50Ms", "programLatencyP95Ms",
		"programLatencyP99Ms", "wastedCacheRatio", "worstTeamRatio", "wrongfulRefusals", "refusals", "overGranted",
		"doubleRuns", "falseNotRun", "turnsLost", "turnsMixed", "keysLeaked", "cutOff",
	}
	for _, field := range fields {
		assert.Assert(t, strings.Contains(string(raw), `"`+field+`":`), field)
	}
}

func TestTableShowsEachField(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, printTable(&out, result{Experiment: "steady", CutOff: 3}))
	assert.Assert(t, strings.Contains(out.String(), "cutOff"))
	assert.Assert(t, strings.Contains(out.String(), "steady"))
}

func TestPlansFollowFromTheSeed(t *testing.T) {
	l := newLoad(normalUtilisation, normalDuration)
	assert.Equal(t, planNames(newPlans(1, l)), planNames(newPlans(1, l)))
	assert.Assert(t, planNames(newPlans(1, l)) != planNames(newPlans(2, l)))
}

func planNames(plans []plan) string {
	var names strings.Builder
	for _, p := range plans {
		names.WriteString(p.name + p.at.String() + p.ideal().String())
	}
	return names.String()
}
