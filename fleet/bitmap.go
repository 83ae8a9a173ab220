package fleet

import "math/bits"

// BitmapBytes is the size of a Bitmap in bytes.
const BitmapBytes = ShardCount / 8

// Bitmap is a set of shards in the encoding of the wire.
type Bitmap [BitmapBytes]byte

// BitmapOf returns the set of the given shards.
func BitmapOf(shards ...Shard) Bitmap {
	var b Bitmap
	for _, s := range shards {
		b.Set(s)
	}
	return b
}

// Set adds a shard.
func (b *Bitmap) Set(s Shard) { b[s/8] |= 1 << (s % 8) }

// Clear removes a shard.
func (b *Bitmap) Clear(s Shard) { b[s/8] &^= 1 << (s % 8) }

// Has reports whether the shard is in the set.
func (b *Bitmap) Has(s Shard) bool { return b[s/8]&(1<<(s%8)) != 0 }

// Len returns the number of shards in the set.
func (b *Bitmap) Len() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Empty reports whether the set is empty.
func (b *Bitmap) Empty() bool { return *b == Bitmap{} }

// Shards returns the shards of the set in ascending order.
func (b *Bitmap) Shards() []Shard {
	shards := make([]Shard, 0, b.Len())
	for i := range ShardCount {
		if b.Has(Shard(i)) {
			shards = append(shards, Shard(i))
		}
	}
	return shards
}
