//go:build review

package standin2

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
)

const deployFile = "deploy/service.toml"

// Node is a controller process.
type Node struct {
	Name                           string
	zone, bind, mesh, state, cloud string
	settings, logPath              string
	record                         *Record
	process                        *os.Process
}

// Bind returns the address for users and workers.
func (n *Node) Bind() string { return n.bind }

// runCommand returns the run entry of the deploy file. The working directory must be the root of the
// repository.
func runCommand() ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New(deployFile + " has no run entry")
}

// Start starts the process.
func (n *Node) Start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()                                                       //nolint:errcheck // the process has its own copy
	program := exec.Command(command[0], append(command[1:], n.settings)...) //nolint:gosec,noctx // the command of the deploy file; Kill ends it
	program.Stderr = log
	program.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	if err := program.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.Name, err)
	}
	n.process = program.Process
	n.record.Printf("%s: started", n.Name)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	if n.process != nil {
		n.record.Printf("%s: signal %s", n.Name, signal)
		_ = n.process.Signal(signal)
	}
}

// Kill ends the process and waits until it has ended.
func (n *Node) Kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Kill()
	_, _ = n.process.Wait()
	n.process = nil
	n.record.Printf("%s: ended", n.Name)
}
