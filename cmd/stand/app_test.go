package main

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAppParsesArguments(t *testing.T) {
	cases := []struct {
		name string
		args []string
		ok   bool
	}{
		{name: "platform", args: []string{"platform", "-listLag", "1s"}, ok: true},
		{name: "engine", args: []string{"engine", "-slots", "4", "-coldSlots", "1"}, ok: true},
		{name: "service", args: []string{"service", "-name", "booking"}, ok: true},
		{name: "nothing"},
		{name: "unknown", args: []string{"database"}},
		{name: "unknown flag", args: []string{"service", "-slots", "4"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			made, err := NewApp(&out, &out).parse(c.args)
			assert.Equal(t, err == nil, c.ok, "%v", err)
			if !c.ok {
				assert.Equal(t, NewApp(&out, &out).Run(c.args), exitUsage)
				return
			}
			assert.NilError(t, made.Start())
			made.Close()
		})
	}
}
