// Package wire defines the messages that yarrowgap exchanges with users, workers, the cloud
// and the key-value store. Clients may import it. Struct tags hold the field names of the
// protocol; Go identifiers use the standard terms (job, task, attempt, team, zone, machine,
// incarnation, fencing token, revision, lease).
package wire

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the protocol's limit, in bytes, on request bodies and on responses to workers
// and users.
const MaxBody = 64 << 10

// ContentType is the media type of all request and response bodies.
const ContentType = "application/cbor"

var (
	decMode cbor.DecMode
	encMode cbor.EncMode
)

func init() {
	var err error
	decMode, err = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   16,     // a page of batches from the key-value store has 8 levels
		MaxArrayElements:  131072, // far more than a heartbeat or a list holds
		MaxMapPairs:       4096,   // messages have fewer than 30 fields; also limits maps by job ID
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		UTF8:              cbor.UTF8RejectInvalid,
		TagsMd:            cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	encMode, err = cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
}

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// ErrNotMap is returned by Unmarshal for a body that is not a map.
var ErrNotMap = errors.New("body is not a CBOR map")

// Unmarshal decodes a CBOR map into v. It rejects trailing bytes, duplicate keys, deep nesting
// and values other than maps. It ignores unknown fields.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return ErrNotMap
	}
	return decMode.Unmarshal(b, v)
}

// Raw is an undecoded CBOR value.
type Raw = cbor.RawMessage

// JSONSize returns an upper bound of the size of v encoded as JSON, in bytes. The protocol's size
// limits refer to the JSON encoding. A value that cannot be encoded counts as larger than any limit.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt
	}
	size := len(b)
	for _, c := range b {
		if c >= utf8.RuneSelf {
			size += maxEscapedByte - 1
		}
	}
	return size
}

const (
	// maxEscapedByte is the most bytes that an encoder writes for one byte of a character outside
	// ASCII: six for a character of two bytes.
	maxEscapedByte = 3
	// escapedASCIIBytes is the size of an escaped ASCII character, as in \u003c.
	escapedASCIIBytes = 6
)

// JSONTextSize returns an upper bound of the size of a text encoded as JSON, in bytes, without the
// quotes, whichever characters the encoder escapes.
func JSONTextSize(text string) int {
	size := 0
	for i := range len(text) {
		switch c := text[i]; {
		case c >= utf8.RuneSelf:
			size += maxEscapedByte
		case c < ' ' || strings.IndexByte(`"\<>&'`, c) >= 0 || c == deleteCharacter:
			size += escapedASCIIBytes
		default:
			size++
		}
	}
	return size
}

const deleteCharacter = 0x7f

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
