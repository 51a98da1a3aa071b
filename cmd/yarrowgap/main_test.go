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
	invalidConfig := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(invalidConfig, []byte("node = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	invalidScript := filepath.Join(dir, "bad.star")
	if err := os.WriteFile(invalidScript, []byte("\nspeed = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	validConfig := "../../examples/local.toml"
	for _, tc := range []struct {
		args                   []string
		wantCode               int
		wantStdout, wantStderr string
	}{
		{[]string{"version"}, 0, "yarrowgap " + version, ""},
		{[]string{"--help"}, 0, "serve --config=FILE", ""},
		{[]string{"check", "--config", validConfig}, 0, "ok: node drover-0", ""},
		{[]string{"check", "--config", validConfig, "--script", "../../examples/operators.star"}, 0, "ok", ""},
		{[]string{"check", "--config", validConfig, "--script", "../../deploy/recovery.star"}, 0, "ok", ""},
		{[]string{"recovery", "--addr", "127.0.0.1:1"}, 1, "", "refused"},
		{[]string{"check", "--config", invalidConfig}, 2, "", "mesh_addr: missing"},
		{[]string{"serve", "--config", invalidConfig}, 2, "", "mesh_addr: missing"},
		{[]string{"check", "--config", validConfig, "--script", invalidScript}, 2, "", "bad.star:2"},
		{[]string{"check", "--config", filepath.Join(dir, "none.toml")}, 2, "", "no such file"},
		{[]string{"check"}, 2, "", "--config"},
		{[]string{"fly"}, 2, "", "fly"},
		{[]string{"leader", "--addr", "127.0.0.1:1"}, 1, "", "refused"},
	} {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(tc.args, &stdout, &stderr)
			if code != tc.wantCode || !strings.Contains(stdout.String(), tc.wantStdout) || !strings.Contains(stderr.String(), tc.wantStderr) {
				t.Errorf("exit %d, out %q, err %q", code, stdout.String(), stderr.String())
			}
		})
	}
}

// The error of a refused query names the leader to query instead, if it is known.
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

// Later scripts override earlier ones, and the script from YARROWGAP_SCRIPT overrides all of them,
// so that a script on the command line cannot override the operators' own settings.
func TestScriptPrecedence(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	flags := configFlags{Config: "../../examples/local.toml", EnvScript: writeFile("env.star", "max_machines = 3\n"),
		Script: []string{writeFile("a.star", "recovery = True\nprobe_count = 2\n"), writeFile("b.star", "probe_count = 4\nmax_machines = 9\n")}}
	_, got, err := flags.load()
	if err != nil || !got.ReconcileRestarts || got.DispatchRetryCount != 4 || got.MaxMachines != 3 {
		t.Errorf("loaded %+v, %v", got, err)
	}
	flags.EnvScript = writeFile("bad.star", "speed = 3\n")
	if _, _, err := flags.load(); err == nil || !strings.Contains(err.Error(), "bad.star:1") {
		t.Errorf("invalid script from the environment: %v", err)
	}
}

func TestLogLevel(t *testing.T) {
	var output bytes.Buffer
	for _, level := range []string{"error", "info", "debug", ""} {
		if _, err := newLogger(&output, level); err != nil {
			t.Errorf("%q: %v", level, err)
		}
	}
	if _, err := newLogger(&output, "loud"); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("unknown level: %v", err)
	}
}
