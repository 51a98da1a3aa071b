package golden

import (
	"encoding/json"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Encoding is a form in which messages and records are written.
type Encoding struct {
	extension string
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

// The encodings in use.
var (
	CBOR = Encoding{".cbor", wire.Marshal, wire.Unmarshal}
	JSON = Encoding{".json", json.Marshal, json.Unmarshal}
)
