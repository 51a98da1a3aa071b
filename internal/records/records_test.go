package records_test

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// Done bits survive their chunks, and a chunk fits the smallest value limit.
func TestBitmapChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, wire.MaxTasks).Draw(t, "tasks")
		b := records.NewBitmap(n)
		set := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 200).Draw(t, "done")
		want := map[int]bool{}
		for _, i := range set {
			b.Add(i)
			want[i] = true
		}
		got := records.NewBitmap(n)
		for k := 0; k < b.ChunkCount(); k++ {
			s := b.EncodeChunk(k)
			if len(s) > 1500 {
				t.Fatalf("chunk %d takes %d bytes", k, len(s))
			}
			if err := got.MergeChunk(k, s); err != nil {
				t.Fatal(err)
			}
		}
		if got.Count() != len(want) {
			t.Fatalf("%d of %d", got.Count(), len(want))
		}
		for i := range want {
			if !got.Has(i) {
				t.Fatalf("%d was lost", i)
			}
		}
	})
}

// A record that does not fit its job is rejected.
func TestDecodingRejectsInconsistentRecords(t *testing.T) {
	big := records.NewBitmap(5000)
	big.Add(4999)
	small := records.NewBitmap(16)
	if err := small.MergeChunk(0, big.EncodeChunk(0)); err == nil {
		t.Error("a bitmap of 5000 tasks was merged into one of 16")
	}
	if err := small.MergeChunk(0, "not base64!"); err == nil {
		t.Error("what is not base64 was merged")
	}
	if _, err := records.DecodeJob(wire.KeyValue{Key: records.JobKey("run-000001"), Value: wire.Raw{0xa0}}); err == nil {
		t.Error("an empty job record was accepted")
	}
}
