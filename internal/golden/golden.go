// Package golden compares encoded messages and stored records with golden files under
// testdata/golden of the tested package, so that renaming Go identifiers cannot change what
// is sent or stored. Its functions are for tests only.
//
// After an intended change of format, go test -update rewrites the golden files.
package golden

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

const (
	directory = "testdata/golden"
	fileMode  = 0o644
	dirMode   = 0o755
)

// CheckEncoding checks the encoding of a message, which is a pointer to a zero value. With
// every field filled, the message must encode to the bytes of the golden file, and those bytes
// must decode to an equal message that encodes to the same bytes again.
func CheckEncoding(t *testing.T, name string, encoding Encoding, message any) {
	t.Helper()
	t.Run(name+encoding.extension, func(t *testing.T) {
		Fill(message)
		encoded, err := encoding.marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		stored := CheckBytes(t, name+encoding.extension, encoded)
		decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err = encoding.unmarshal(stored, decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, message) {
			t.Errorf("the golden bytes decode to\n%+v, want\n%+v", decoded, message)
		}
		again, err := encoding.marshal(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, stored) {
			t.Errorf("the decoded value encodes to\n%q, want\n%q", again, stored)
		}
	})
}

// CheckBytes compares content with the golden file and returns the file's content.
func CheckBytes(t *testing.T, name string, content []byte) []byte {
	t.Helper()
	path := filepath.Join(directory, name)
	if *update {
		if err := os.MkdirAll(directory, dirMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(content, stored) {
		t.Errorf("%s: encoded as\n%q, want\n%q", name, content, stored)
	}
	return stored
}

// CheckLines compares values, written one per line, with the golden file.
func CheckLines(t *testing.T, name string, values ...any) {
	t.Helper()
	var lines strings.Builder
	for _, value := range values {
		fmt.Fprintln(&lines, value)
	}
	CheckBytes(t, name, []byte(lines.String()))
}
