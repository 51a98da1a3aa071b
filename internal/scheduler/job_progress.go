package scheduler

import "github.com/yarrowgap/yarrowgap/internal/records"

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

// mergeSaved takes a chunk of done bits that are durable.
func (p *jobProgress) mergeSaved(chunk int, encoded string) error {
	if err := p.saved.MergeChunk(chunk, encoded); err != nil {
		return err
	}
	_ = p.done.MergeChunk(chunk, encoded) // it is as long as saved, which took the chunk
	p.doneCount, p.savedCount = p.done.Count(), p.saved.Count()
	return nil
}
