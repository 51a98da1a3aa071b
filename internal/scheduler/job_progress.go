package scheduler

import (
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/records"
)

// jobProgress has the tasks of a job that are done. Those in saved are durably so; all of
// them are in done, too. The counts are those of the bitmaps.
type jobProgress struct {
	done, saved           records.Bitmap
	doneCount, savedCount int
}

func newJobProgress(tasks int) jobProgress {
	return jobProgress{done: records.NewBitmap(tasks), saved: records.NewBitmap(tasks)}
}

// add counts a task as done that was not.
func (p *jobProgress) add(index int) {
	p.done.Add(index)
	p.doneCount++
}

// markSaved takes note that chunks of the given bits, which are among those in done, are
// durable.
func (p *jobProgress) markSaved(bits records.Bitmap, chunks []int) {
	for _, chunk := range chunks {
		_ = p.saved.MergeChunk(chunk, bits.EncodeChunk(chunk)) // it is of saved's size
	}
	p.savedCount = p.saved.Count()
}

// markAllSaved takes note that all of done is durable.
func (p *jobProgress) markAllSaved() {
	p.saved, p.savedCount = slices.Clone(p.done), p.doneCount
}

// unsaved reports whether some of done is not durable.
func (p *jobProgress) unsaved() bool { return p.savedCount != p.doneCount }

// mergeSaved takes a chunk of done bits that were read from a record.
func (p *jobProgress) mergeSaved(chunk int, encoded string) error {
	if err := p.saved.MergeChunk(chunk, encoded); err != nil {
		return err
	}
	_ = p.done.MergeChunk(chunk, encoded) // it is as long as saved, which took the chunk
	p.doneCount, p.savedCount = p.done.Count(), p.saved.Count()
	return nil
}
