package stand

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

type (
	// PrefixPart is one message of a cached prefix.
	PrefixPart struct {
		Digest uint64 `json:"digest,string"`
		Tokens int    `json:"tokens"`
	}

	// Prefix is a cached prefix, message by message.
	Prefix []PrefixPart

	// HeldPrefixes remembers the longest prefix that any engine ever held of
	// each program. Engines that share it know what others have held.
	HeldPrefixes struct {
		mu        sync.Mutex
		byProgram map[string]Prefix
	}
)

// NewHeldPrefixes returns an empty memory.
func NewHeldPrefixes() *HeldPrefixes {
	return &HeldPrefixes{byProgram: make(map[string]Prefix)}
}

func newPrefix(messages []Message) Prefix {
	prefix := make(Prefix, 0, len(messages)+1)
	for _, m := range messages {
		digest := xxhash.Sum64String(m.Role + "\x00" + m.Content)
		prefix = append(prefix, PrefixPart{Digest: digest, Tokens: m.Tokens()})
	}
	return prefix
}

func (p Prefix) tokens() int {
	sum := 0
	for _, part := range p {
		sum += part.Tokens
	}
	return sum
}

// shared returns the tokens of the messages that both begin with.
func (p Prefix) shared(other Prefix) int {
	sum := 0
	for i := 0; i < len(p) && i < len(other) && p[i] == other[i]; i++ {
		sum += p[i].Tokens
	}
	return sum
}

func (h *HeldPrefixes) shared(program string, prefix Prefix) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byProgram[program].shared(prefix)
}

// hold keeps the prefix unless the one kept goes further.
func (h *HeldPrefixes) hold(program string, prefix Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kept := h.byProgram[program]; kept.shared(prefix) == prefix.tokens() {
		return
	}
	h.byProgram[program] = prefix
}
