package golden

import (
	"encoding/json"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Encoding is an encoding of messages and records.
type Encoding struct {
	extension string // file extension of golden files, with the dot
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

// Encodings in use.
var (
	CBOR = Encoding{".cbor", wire.Marshal, wire.Unmarshal}
	JSON = Encoding{".json", json.Marshal, json.Unmarshal}
)
