package scheduler

import (
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/records"
)

// jobProgress records which tasks of a job are done. saved is the subset of done that is
// durable. The counts are the numbers of bits set in the bitmaps.
type jobProgress struct {
	done, saved           records.Bitmap
	doneCount, savedCount int
}

func newJobProgress(tasks int) jobProgress {
	return jobProgress{done: records.NewBitmap(tasks), saved: records.NewBitmap(tasks)}
}

// add marks a task as done. It must not be done already.
func (p *jobProgress) add(index int) {
	p.done.Add(index)
	p.doneCount++
}

// markSaved records that the given chunks of bits are durable. The bits are a subset of done.
func (p *jobProgress) markSaved(bits records.Bitmap, chunks []int) {
	for _, chunk := range chunks {
		_ = p.saved.MergeChunk(chunk, bits.EncodeChunk(chunk)) // cannot fail: bits has the size of saved
	}
	p.savedCount = p.saved.Count()
}

// markAllSaved records that all bits in done are durable.
func (p *jobProgress) markAllSaved() {
	p.saved, p.savedCount = slices.Clone(p.done), p.doneCount
}

// unsaved reports whether a bit in done is not durable.
func (p *jobProgress) unsaved() bool { return p.savedCount != p.doneCount }

// mergeSaved merges a chunk of done bits that was read from a record.
func (p *jobProgress) mergeSaved(chunk int, encoded string) error {
	if err := p.saved.MergeChunk(chunk, encoded); err != nil {
		return err
	}
	_ = p.done.MergeChunk(chunk, encoded) // cannot fail: done has the size of saved
	p.doneCount, p.savedCount = p.done.Count(), p.saved.Count()
	return nil
}
