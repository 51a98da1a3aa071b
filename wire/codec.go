// Package wire holds the message formats that yarrowgap speaks with users, workers, the
// cloud and the key-value store. Clients may import it. Struct tags carry the protocol's
// names; Go names carry the usual terms (job, task, attempt, team, zone, machine,
// incarnation, fencing token, revision, lease).
package wire

import (
	"encoding/json"
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the protocol's limit on request bodies, and on responses to
// workers and users, in bytes.
const MaxBody = 64 << 10

// ContentType is the media type of every body.
const ContentType = "application/cbor"

var (
	decMode cbor.DecMode
	encMode cbor.EncMode
)

func init() {
	var err error
	decMode, err = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   16,     // the deepest message of the protocol has 4
		MaxArrayElements:  131072, // a heartbeat or a list stays far below
		MaxMapPairs:       4096,   // the widest message has under 30 fields
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

// Unmarshal decodes a CBOR map into v. Trailing bytes, duplicate keys, deep
// nesting and anything that is not a map are errors; unknown fields are not.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return ErrNotMap
	}
	return decMode.Unmarshal(b, v)
}

// Raw is an undecoded CBOR value.
type Raw = cbor.RawMessage

// JSONSize is the size of v in the JSON form, in which the protocol measures
// its limits.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt
	}
	return len(b)
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
