package main

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("node = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	script := filepath.Join(dir, "bad.star")
	if err := os.WriteFile(script, []byte("\nspeed = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := "../../examples/local.toml"
	for _, tc := range []struct {
		args     []string
		code     int
		out, err string
	}{
		{[]string{"version"}, 0, "yarrowgap " + version, ""},
		{[]string{"--help"}, 0, "serve --config=FILE", ""},
		{[]string{"check", "--config", good}, 0, "ok: node drover-0", ""},
		{[]string{"check", "--config", good, "--script", "../../examples/operators.star"}, 0, "ok", ""},
		{[]string{"check", "--config", good, "--script", "../../deploy/recovery.star"}, 0, "ok", ""},
		{[]string{"recovery", "--addr", "127.0.0.1:1"}, 1, "", "refused"},
		{[]string{"check", "--config", bad}, 2, "", "mesh_addr: missing"},
		{[]string{"serve", "--config", bad}, 2, "", "mesh_addr: missing"},
		{[]string{"check", "--config", good, "--script", script}, 2, "", "bad.star:2"},
		{[]string{"check", "--config", filepath.Join(dir, "none.toml")}, 2, "", "no such file"},
		{[]string{"check"}, 2, "", "--config"},
		{[]string{"fly"}, 2, "", "fly"},
		{[]string{"leader", "--addr", "127.0.0.1:1"}, 1, "", "refused"},
	} {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			var out, errs bytes.Buffer
			code := run(tc.args, &out, &errs)
			if code != tc.code || !strings.Contains(out.String(), tc.out) || !strings.Contains(errs.String(), tc.err) {
				t.Errorf("exit %d, out %q, err %q", code, out.String(), errs.String())
			}
		})
	}
}

// A controller's refusal names who to ask instead, if that is known.
func TestRefusedQueryNamesTheLeader(t *testing.T) {
	for _, tc := range []struct{ name, body, want string }{
		{"leader known", `{"error":"this node does not lead","leader":"drover-1"}`, "this node does not lead; ask drover-1"},
		{"leader unknown", `{"error":"this node does not lead","leader":""}`, "status 503: this node does not lead"},
		{"not JSON", "no", "status 503: "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := parseReplyError(http.StatusServiceUnavailable, []byte(tc.body)).Error(); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

// Scripts are read in their order, and the environment's wins over all: a command line
// that switches something on does not undo the operators' own settings.
func TestScriptPrecedence(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	in := configFlags{Config: "../../examples/local.toml", EnvScript: file("env.star", "max_machines = 3\n"),
		Script: []string{file("a.star", "recovery = True\nprobe_count = 2\n"), file("b.star", "probe_count = 4\nmax_machines = 9\n")}}
	_, got, err := in.load()
	if err != nil || !got.ReconcileRestarts || got.DispatchRetryCount != 4 || got.MaxMachines != 3 {
		t.Errorf("read as %+v, %v", got, err)
	}
	in.EnvScript = file("bad.star", "speed = 3\n")
	if _, _, err := in.load(); err == nil || !strings.Contains(err.Error(), "bad.star:1") {
		t.Errorf("a wrong script of the environment: %v", err)
	}
}

func TestLogLevel(t *testing.T) {
	var b bytes.Buffer
	for _, level := range []string{"error", "info", "debug", ""} {
		if _, err := newLogger(&b, level); err != nil {
			t.Errorf("%q: %v", level, err)
		}
	}
	if _, err := newLogger(&b, "loud"); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("an unknown level: %v", err)
	}
}
