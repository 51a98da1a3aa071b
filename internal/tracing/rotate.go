package tracing

import (
	"fmt"
	"os"
)

// rotatedSuffix is the suffix of the file that was rotated last.
const rotatedSuffix = ".1"

// rotatingFile appends to a file until it reaches a maximum size, and then renames the full
// file and starts a new one. Both files together stay under twice the maximum, because a
// service that runs unattended must not fill the disk.
type rotatingFile struct {
	path     string
	maxBytes int64
	file     *os.File
	size     int64 // size of file, in bytes
}

// openRotating opens a file for appending.
func openRotating(path string, maxBytes int64) (*rotatingFile, error) {
	r := &rotatingFile{path: path, maxBytes: maxBytes}
	return r, r.open()
}

func (r *rotatingFile) open() error {
	file, err := os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return err
	}
	r.file, r.size = file, info.Size()
	return nil
}

// Write appends one or more whole spans, so that no span is divided between two files.
func (r *rotatingFile) Write(b []byte) (int, error) {
	if r.size > 0 && r.size+int64(len(b)) > r.maxBytes {
		if err := r.rotate(); err != nil {
			return 0, err
		}
	}
	n, err := r.file.Write(b)
	r.size += int64(n)
	return n, err
}

// rotate renames the full file and opens a new one. If the rename fails, the full file stays
// open and the next write tries again.
func (r *rotatingFile) rotate() error {
	if err := os.Rename(r.path, r.path+rotatedSuffix); err != nil {
		return fmt.Errorf("trace_file: %w", err)
	}
	full := r.file
	if err := r.open(); err != nil {
		return fmt.Errorf("trace_file: %w", err)
	}
	return full.Close()
}

// Close closes the file.
func (r *rotatingFile) Close() error { return r.file.Close() }
