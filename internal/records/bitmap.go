package records

import (
	"encoding/base64"
	"fmt"
	"math/bits"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Bitmap is a set of task indices below a fixed limit. It is stored in chunks, each of which
// fits into one value of the key-value store.
type Bitmap []byte

// NewBitmap returns an empty set for n tasks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Add adds i to the set.
func (b Bitmap) Add(i int) { b[i>>3] |= 1 << (i & 7) }

// Count returns the number of members.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// chunkBytes is the size of a chunk before it is encoded as text.
const chunkBytes = tuning.TasksPerBitmap / 8

// ChunkCount returns the number of chunks of the set, at least 1.
func (b Bitmap) ChunkCount() int { return max(1, (len(b)+chunkBytes-1)/chunkBytes) }

// EncodeChunk returns a chunk in base64, without trailing zero bytes. A chunk without members is
// encoded as the empty string.
func (b Bitmap) EncodeChunk(chunk int) string {
	part := b[min(len(b), chunk*chunkBytes):min(len(b), (chunk+1)*chunkBytes)]
	n := len(part)
	for n > 0 && part[n-1] == 0 {
		n--
	}
	return base64.RawStdEncoding.EncodeToString(part[:n])
}

// MergeChunk adds the members of an encoded chunk to the set.
func (b Bitmap) MergeChunk(chunk int, text string) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("bitmap chunk %d: %w", chunk, err)
	}
	offset := chunk * chunkBytes
	if len(raw) > chunkBytes || offset+len(raw) > len(b) {
		return fmt.Errorf("bitmap chunk %d: %w: too long", chunk, ErrInconsistent)
	}
	for i, x := range raw {
		b[offset+i] |= x
	}
	return nil
}
