// Package spread keeps an instance's text and keys in line with the table
// service and with its peers. Packages conf and keys decide what holds.
package spread

import (
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/peer"
)

var (
	// Sync is the remote method by which instances tell what they know.
	Sync = peer.Method[SyncMessage, SyncMessage]{Name: "Sync"}
	// Push is the remote method that spreads a change at once.
	Push = peer.Method[PushMessage, PushReply]{Name: "Push"}
	// FetchText is the remote method that reads a peer's text.
	FetchText = peer.Method[FetchTextRequest, conf.Head]{Name: "FetchText"}
	// FetchKeys is the remote method that reads a peer's changes of keys.
	FetchKeys = peer.Method[FetchKeysRequest, FetchKeysReply]{Name: "FetchKeys"}
	// PageKeys is the remote method that reads a peer's keys page by page.
	PageKeys = peer.Method[PageKeysRequest, PageKeysReply]{Name: "PageKeys"}
)

type (
	// SyncMessage tells what an instance knows, in request and reply.
	SyncMessage struct {
		Instance string         `cbor:"1,keyasint"`
		Stamp    conf.Stamp     `cbor:"2,keyasint"`
		Callers  keys.PeerState `cbor:"3,keyasint"`
		Admins   keys.PeerState `cbor:"4,keyasint"`
	}

	// PushMessage carries what has just been accepted: a text or a change of a
	// key. The other is nil.
	PushMessage struct {
		Instance string       `json:"instance"`
		Head     *conf.Head   `json:"head,omitempty"`
		Kind     keys.Kind    `json:"kind"`
		Change   *keys.Change `json:"change,omitempty"`
	}

	// PushReply acknowledges a PushMessage.
	PushReply struct {
		// Revision is the receiver's revision of the text, or of the keys of the
		// kind, after the push.
		Revision int64 `json:"revision"`
	}

	// FetchTextRequest asks for a peer's text.
	FetchTextRequest struct{}

	// FetchKeysRequest asks for the changes after a revision.
	FetchKeysRequest struct {
		Kind  keys.Kind `json:"kind"`
		After int64     `json:"after"`
	}

	// FetchKeysReply lists changes.
	FetchKeysReply struct {
		Changes []keys.Change `json:"changes"`
		// Whole says that no change is missing.
		Whole bool `json:"whole"`
	}

	// PageKeysRequest asks for the keys whose hash sorts after a hash.
	PageKeysRequest struct {
		Kind  keys.Kind `json:"kind"`
		After keys.Hash `json:"after"`
	}

	// PageKeysReply is one page of keys.
	PageKeysReply struct {
		Page []keys.Change `json:"page"`
		// Revision is the peer's revision before it read the page.
		Revision int64 `json:"revision"`
		// Last says that no key follows.
		Last bool `json:"last"`
	}
)
