package calls

import (
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
)

// Caller identifies who makes a call, derived from its API key.
type Caller struct {
	// Team owns the key; its name is empty on routes that need no key.
	Team conf.Team
	// KeyID identifies the key without revealing the secret.
	KeyID keys.Hash
	// Key is the secret; it is never sent to an upstream.
	Key string
}

// MayCall reports whether the caller's team is allowed to call the service.
func (c Caller) MayCall(service string) bool {
	return c.Team.MayCall(service)
}
