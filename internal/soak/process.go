package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is a controller process that can be killed, paused and started again.
type process struct {
	name     string
	binary   string
	settings string // path of the settings file
	logPath  string

	mu         sync.Mutex // guards the fields below
	command    *exec.Cmd  // nil: it does not run
	exited     chan struct{}
	unexpected []string // ends that were not caused by kill
}

// start starts the process. Its log is appended to the log file.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(ctx, p.binary, "serve", "--config", p.settings)
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		defer close(exited)
		err := command.Wait()
		_ = log.Close()
		p.recordExit(command, err)
	}()
	return nil
}

// recordExit records the end of the process as unexpected, unless kill has caused it.
func (p *process) recordExit(command *exec.Cmd, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == command {
		p.command = nil
		p.unexpected = append(p.unexpected, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.command = nil
	p.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// unexpectedEnds returns the ends that were not caused by kill.
func (p *process) unexpectedEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unexpected...)
}
