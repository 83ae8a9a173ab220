package entry

import "net/http"

// drainWriter makes an answer close its connection if the instance drains, also if it
// began to do so after the request: the caller reconnects, and the balancer picks
// another instance.
type drainWriter struct {
	http.ResponseWriter
	health Health
	// begun is set once the head is written.
	begun bool
}

// WriteHeader writes the answer's head.
func (w *drainWriter) WriteHeader(status int) {
	w.begun = true
	if w.health.Draining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (w *drainWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer to http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
