package trial

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "buckthorntide")
	out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if binary, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(status)
}

type (
	// process is one running program that a test may kill, freeze and stop.
	process struct {
		t      testing.TB
		cmd    *exec.Cmd
		output *lockedBuffer
		exited chan error
	}

	lockedBuffer struct {
		mu  sync.Mutex
		buf bytes.Buffer
	}
)

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startProcess runs the product with the arguments until the test ends.
func startProcess(t testing.TB, env []string, args ...string) *process {
	t.Helper()
	binary, err := buildOnce()
	assert.NilError(t, err, binary)
	p := &process{t: t, cmd: exec.Command(binary, args...), output: &lockedBuffer{}, exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	assert.NilError(t, p.cmd.Start())
	waiter := group.NewGroup(context.Background())
	waiter.Go(func(context.Context) { p.exited <- p.cmd.Wait() })
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		waiter.Wait()
		if t.Failed() {
			t.Logf("output of %v:\n%s", args, p.output.String())
		}
	})
	return p
}

// signal sends a signal to the process by its id.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

func (p *process) kill()   { p.signal(syscall.SIGKILL) }
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// stop asks for a planned stop and waits for the exit.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	return <-p.exited
}
