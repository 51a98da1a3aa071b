package main

import (
	"testing"

	"github.com/alecthomas/kong"
)

// The commands in the README and operators' scripts use these flags.
func TestFlagsKeepTheirNames(t *testing.T) {
	var commands struct {
		Serve  serveCommand  `cmd:"" default:"withargs"`
		Submit submitCommand `cmd:""`
	}
	parser, err := kong.New(&commands)
	if err != nil {
		t.Fatal(err)
	}
	for _, arguments := range [][]string{
		{"--listen", "127.0.0.1:7100", "--node", "drover-0=127.0.0.1:8080", "--team", "crew", "--limit", "64"},
		{"submit", "--to", "127.0.0.1:8080", "--site", "127.0.0.1:7000", "--team", "crew", "run-000001", "--tasks", "4", "--cpus", "2", "--seconds", "5", "--service"},
	} {
		if _, err := parser.Parse(arguments); err != nil {
			t.Errorf("%v: %v", arguments, err)
		}
	}
	want := submitCommand{
		ID: "run-000001", Controller: "127.0.0.1:8080", Simulator: "127.0.0.1:7000", Team: "crew",
		Tasks: 4, CPUs: 2, Seconds: 5, Service: true,
	}
	if commands.Submit != want {
		t.Errorf("parsed %+v, want %+v", commands.Submit, want)
	}
}

func TestListenAddresses(t *testing.T) {
	for _, c := range []struct {
		listen string
		cloud  string // empty: the address is rejected
	}{
		{"127.0.0.1:7000", "127.0.0.1:7001"},
		{"[::1]:7000", "[::1]:7001"},
		{"0.0.0.0:7000", ""},
		{"localhost:7000", ""},
		{"127.0.0.1", ""},
		{"127.0.0.1:http", ""},
	} {
		kvStore, cloud, err := listenAddresses(c.listen)
		if cloud != c.cloud || (err == nil) != (c.cloud != "") || err == nil && kvStore != c.listen {
			t.Errorf("%s: %s, %s, %v, want the cloud on %q", c.listen, kvStore, cloud, err, c.cloud)
		}
	}
}
