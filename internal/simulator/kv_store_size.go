package simulator

import (
	"fmt"

	"github.com/yarrowgap/yarrowgap/wire"
)

// valueSize returns the size of a value in JSON, in bytes. The value of a received transaction is
// still encoded as CBOR.
func valueSize(value any) int {
	raw, encoded := value.(wire.Raw)
	if !encoded {
		return wire.JSONSize(value)
	}
	var decoded map[string]any
	if len(raw) == 0 || wire.Unmarshal(raw, &decoded) != nil {
		return len(raw) // not a record: some tests store such values
	}
	return wire.JSONSize(jsonValue(decoded))
}

// jsonValue replaces maps whose keys have no static type, which cannot be encoded as JSON.
func jsonValue(value any) any {
	switch value := value.(type) {
	case map[any]any:
		converted := make(map[string]any, len(value))
		for key, element := range value {
			converted[fmt.Sprint(key)] = jsonValue(element)
		}
		return converted
	case map[string]any:
		for key, element := range value {
			value[key] = jsonValue(element)
		}
	case []any:
		for i, element := range value {
			value[i] = jsonValue(element)
		}
	}
	return value
}
