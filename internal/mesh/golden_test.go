package mesh_test

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
)

func TestMessageEncodingsMatchGoldenFiles(t *testing.T) {
	messages := map[string]any{
		"ping":          &mesh.Ping{},
		"ping-reply":    &mesh.Pong{},
		"forward":       &mesh.ForwardRequest{},
		"forward-reply": &mesh.ForwardReply{},
	}
	var all []any
	for name, message := range messages {
		golden.CheckEncoding(t, name, golden.CBOR, message)
		all = append(all, message)
	}
	golden.CheckCoverage(t, all...)
}

// TestWordsOfTheProtocolMatchGoldenFile covers paths, request kinds and the text form
// of bytes.
func TestWordsOfTheProtocolMatchGoldenFile(t *testing.T) {
	golden.CheckLines(t, "words.txt",
		mesh.PingPath, mesh.ForwardPath, mesh.WatchProcessPath,
		mesh.KindSubmit, mesh.KindQuery, mesh.KindCancel,
		mesh.EncodeBytes([]byte{0x00, 'a', 0x7f, 0x80, 0xff}),
	)
}
