package peer_test

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/internal/peer"
)

func TestMessageEncodingsMatchGoldenFiles(t *testing.T) {
	messages := map[string]any{
		"ping":          &peer.Ping{},
		"ping-reply":    &peer.Pong{},
		"forward":       &peer.ForwardRequest{},
		"forward-reply": &peer.ForwardReply{},
	}
	var all []any
	for name, message := range messages {
		golden.CheckEncoding(t, name, golden.CBOR, message)
		all = append(all, message)
	}
	golden.CheckCoverage(t, all...)
}

// TestProtocolConstantsMatchGoldenFile covers paths, request kinds and the encoding of bytes as
// text.
func TestProtocolConstantsMatchGoldenFile(t *testing.T) {
	golden.CheckLines(t, "words.txt",
		peer.PingPath, peer.ForwardPath, peer.WatchProcessPath,
		peer.KindSubmit, peer.KindQuery, peer.KindCancel,
		peer.EncodeBytes([]byte{0x00, 'a', 0x7f, 0x80, 0xff}),
	)
}
