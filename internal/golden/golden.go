// Package golden checks encoded messages and stored records against files of bytes
// under testdata/golden of the package that is tested, so that no change of Go names
// changes what is sent or stored. Its functions are for tests only.
//
// go test -update writes the files anew, for a change of format that is meant.
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

// CheckEncoding checks an encoding of the type of message, which is a pointer to a zero
// value. The value with every field filled encodes to the bytes of the golden file; the
// bytes decode to the same value, and encode again to the same bytes.
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

// CheckBytes compares content with the golden file and returns what the file holds.
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

// CheckLines compares values, one a line, with the golden file.
func CheckLines(t *testing.T, name string, values ...any) {
	t.Helper()
	var lines strings.Builder
	for _, value := range values {
		fmt.Fprintln(&lines, value)
	}
	CheckBytes(t, name, []byte(lines.String()))
}
