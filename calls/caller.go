package calls

import (
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
)

// Caller is who makes a call, as its key tells.
type Caller struct {
	// Team is the team that the key stands for; its name is empty on routes
	// that are open to all.
	Team conf.Team
	// KeyID names the key without its secret.
	KeyID keys.Hash
	// Key is the secret; it never goes upstream.
	Key string
}

// MayCall tells whether the team may call the service.
func (c Caller) MayCall(service string) bool {
	return c.Team.MayCall(service)
}
