package store

import "crypto/rand"

// NewRequestID returns a request id that no other request has.
func NewRequestID() string { return rand.Text() }
