package trial

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/admapi"
)

// Guards against a signal during a planned stop that ends the process at once, with
// all requests that it has accepted.
func TestSignalDuringPlannedStop(t *testing.T) {
	front := func(t *testing.T) (p *process, stop func() error) {
		p = startFrontProcess(t)
		return p, func() error { return p.cmd.Process.Signal(syscall.SIGTERM) }
	}
	serve := func(t *testing.T) (p *process, stop func() error) {
		p = newCluster(t, options{instances: 1, engines: 1}).instances[0].process
		return p, func() error { return p.cmd.Process.Signal(syscall.SIGTERM) }
	}
	operated := func(t *testing.T) (p *process, stop func() error) {
		c := newCluster(t, options{instances: 1, engines: 1})
		return c.instances[0].process, func() error {
			var reply admapi.DrainResponse
			return c.operate(c.instances[0], http.MethodPost, admapi.PathDrain, nil, &reply)
		}
	}
	tests := []struct {
		name   string
		start  func(t *testing.T) (p *process, stop func() error)
		signal syscall.Signal
	}{
		{"front and SIGHUP", front, syscall.SIGHUP},
		{"front and a second SIGTERM", front, syscall.SIGTERM},
		{"serve and SIGHUP", serve, syscall.SIGHUP},
		{"serve and a second SIGTERM", serve, syscall.SIGTERM},
		{"an operator's drain and SIGTERM", operated, syscall.SIGTERM},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p, stop := tt.start(t)
			assert.NilError(t, stop())
			awaitOutput(t, p, "drain started")
			time.Sleep(100 * time.Millisecond)
			p.signal(tt.signal)
			assert.Check(t, <-p.exited)
			assert.Check(t, strings.Contains(p.output.String(), "drain finished"), "the drain was not finished")
		})
	}
}

// Guards against a change of the settings that ends an instance which has just
// started.
func TestReloadSignalAtStart(t *testing.T) {
	p := startFrontProcess(t)
	p.signal(syscall.SIGHUP)
	awaitOutput(t, p, "settings reloaded")
	assert.NilError(t, p.stop())
}

func awaitOutput(t *testing.T, p *process, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(p.output.String(), text) {
			return poll.Success()
		}
		return poll.Continue("no %q yet", text)
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

// startFrontProcess runs an instance for the platform whose store can't be reached.
func startFrontProcess(t *testing.T) *process {
	t.Helper()
	settings := map[string]any{"stopGrace": "4s"}
	fields := []string{"callerAddress", "readyAddress", "peerAddress", "metricsAddress", "storeAddress"}
	for _, field := range fields {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		settings[field] = l.Addr().String()
		assert.NilError(t, l.Close())
	}
	text, err := json.Marshal(settings)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	p := startProcess(t, nil, "front", "-settings", file)
	awaitOutput(t, p, "instance started")
	return p
}
