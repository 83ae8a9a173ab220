package fleet

const (
	// frameBytes is the overhead of HTTP/2 and gRPC for a message of a stream.
	frameBytes = 14
	// packetBytes is the overhead of TCP and IP for a packet and its
	// acknowledgement.
	packetBytes = 80
	// tagBytes is the size of a field's tag and length.
	tagBytes = 2
	// idBytes is the encoded size of a random 64-bit number.
	idBytes = 9
	// instanceBytes is the size of the field names of an instance.
	instanceBytes = 40
	// bitmapBytes is the size of a set of shards with its tag.
	bitmapBytes = BitmapBytes + 3
	// numberBytes is the encoded size of a small number with its tag.
	numberBytes = 4
)

// Traffic counts the messages of exchanges and their bytes on the wire.
type Traffic struct {
	MessagesSent     int64 `json:"messagesSent"`
	BytesSent        int64 `json:"bytesSent"`
	MessagesReceived int64 `json:"messagesReceived"`
	BytesReceived    int64 `json:"bytesReceived"`
}

func (t *Traffic) sent(bytes int) {
	t.MessagesSent++
	t.BytesSent += int64(bytes)
}

func (t *Traffic) received(bytes int) {
	t.MessagesReceived++
	t.BytesReceived += int64(bytes)
}

// WireBytes returns the approximate size of the request on the wire, as a
// message of a stream and with the packet's headers.
func (r PullRequest) WireBytes() int {
	n := packetBytes + frameBytes + numberBytes + r.From.wireBytes() + bitmapBytes
	for _, rel := range r.Releases {
		n += tagBytes + idBytes + tagBytes + len(rel.To) + numberBytes + bitmapBytes
	}
	return n
}

// WireBytes returns the approximate size of the reply on the wire.
func (r PullReply) WireBytes() int {
	n := packetBytes + frameBytes + numberBytes + r.From.wireBytes() + bitmapBytes
	if r.Slots > 0 {
		n += 2 * numberBytes
	}
	if r.RetryAfter > 0 {
		n += numberBytes
	}
	return n + len(r.Handed)*(tagBytes+idBytes+numberBytes)
}

func (h Heartbeat) wireBytes() int {
	n := tagBytes + idBytes + numberBytes + instanceBytes
	n += tagBytes + len(h.Instance.Name) + tagBytes + len(h.Instance.Address)
	n += tagBytes + len(h.Instance.FailureDomain)
	for _, s := range h.Suspects {
		n += tagBytes + len(s)
	}
	return n
}
