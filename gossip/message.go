// Package gossip propagates the text and the keys between the table service and
// the instances: it polls the table service, exchanges revisions with peers and
// pushes new changes to them. Packages conf and keys decide what is in force.
package gossip

import (
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/peer"
)

var (
	// Sync is the remote method by which instances exchange their revisions.
	Sync = peer.Method[SyncMessage, SyncMessage]{Name: "Sync"}
	// Push is the remote method that sends a new change to a peer immediately.
	Push = peer.Method[PushMessage, PushReply]{Name: "Push"}
	// FetchText is the remote method that reads a peer's text.
	FetchText = peer.Method[FetchTextRequest, conf.Head]{Name: "FetchText"}
	// FetchKeys is the remote method that reads a peer's changes of keys.
	FetchKeys = peer.Method[FetchKeysRequest, FetchKeysReply]{Name: "FetchKeys"}
	// PageKeys is the remote method that reads a peer's keys page by page.
	PageKeys = peer.Method[PageKeysRequest, PageKeysReply]{Name: "PageKeys"}
)

type (
	// SyncMessage carries an instance's revisions, in request and reply.
	SyncMessage struct {
		Instance string         `cbor:"1,keyasint"`
		Stamp    conf.Stamp     `cbor:"2,keyasint"`
		Callers  keys.PeerState `cbor:"3,keyasint"`
		Admins   keys.PeerState `cbor:"4,keyasint"`
	}

	// PushMessage carries a newly accepted text or change of a key. The other
	// is nil.
	PushMessage struct {
		Instance string       `json:"instance"`
		Head     *conf.Head   `json:"head,omitempty"`
		Kind     keys.Kind    `json:"kind"`
		Change   *keys.Change `json:"change,omitempty"`
	}

	// PushReply acknowledges a PushMessage.
	PushReply struct {
		// Revision is the receiver's revision of the text, or of the keys of the
		// kind, once it has applied the push.
		Revision int64 `json:"revision"`
	}

	// FetchTextRequest requests a peer's text.
	FetchTextRequest struct{}

	// FetchKeysRequest requests the changes after a revision.
	FetchKeysRequest struct {
		Kind  keys.Kind `json:"kind"`
		After int64     `json:"after"`
	}

	// FetchKeysReply lists the changes that the peer still has.
	FetchKeysReply struct {
		Changes []keys.Change `json:"changes"`
		// Complete is set if no change after the requested revision is missing.
		Complete bool `json:"whole"`
	}

	// PageKeysRequest requests a page of the keys whose hash sorts after a hash.
	PageKeysRequest struct {
		Kind  keys.Kind `json:"kind"`
		After keys.Hash `json:"after"`
	}

	// PageKeysReply is one page of keys in the order of their hashes.
	PageKeysReply struct {
		Page []keys.Change `json:"page"`
		// Revision is the peer's revision before it read the page.
		Revision int64 `json:"revision"`
		// Last is set if no key follows.
		Last bool `json:"last"`
	}
)
