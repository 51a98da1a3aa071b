//go:build review

// Package standin has the stand-ins of the review's cases: a state service, a cloud with its
// workers, and users, all on loopback addresses and the real clock, and the controller processes.
// They follow the users' pages and use no code of the controllers.
package standin

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Map is a message, as on the protocol page.
type Map = map[string]any

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DefaultMapType: typeOfMap}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode encodes a message.
func Encode(message any) []byte {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode decodes a message.
func Decode(encoded []byte, message any) error { return decoder.Unmarshal(encoded, message) }

// Record writes what was sent, answered and run, each line with the time since the start.
type Record struct {
	mu        sync.Mutex
	out       io.Writer
	file      *os.File
	startedAt time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: io.MultiWriter(file), file: file, startedAt: time.Now()}, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.startedAt) }

// Logf writes one line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes one line, also to standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
