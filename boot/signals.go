package boot

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
)

// errStopSignal ends the run group when the process is told to stop.
const errStopSignal = errors.ConstError("stop signal")

// signals receives the signals to stop and to reload from the start of the process
// to its end. A signal that nobody receives would end the process at once, also
// during a drain.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func notifySignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// Close gives the signals their default actions back.
func (s *signals) Close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// actor waits for a signal to stop. From then on a second interrupt ends the process,
// for operators at a terminal.
func (s *signals) actor() (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.stop:
			signal.Reset(syscall.SIGINT)
			return errStopSignal
		}
	}
	return execute, func(error) { cancel() }
}
