package drain

import (
	"net"
	"sync"
)

// onceListener is a listener that may be closed again: http.Server.Shutdown fails if a
// listener that it serves was closed before.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close closes the listener and returns the error of the first close.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}
