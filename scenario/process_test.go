package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// progress is the deadline for everything that must happen at some time.
	progress = 30 * time.Second
	poll     = 10 * time.Millisecond
)

type kind string

const (
	kindPlatform kind = "platform"
	kindTarget   kind = "target"
	kindVM       kind = "vm"
)

// process is one process of the program under test.
type process struct {
	id     string
	kind   kind
	domain string
	// service is set for a target.
	service string
	// args are the arguments without the address, for a restart.
	args []string
	// address is where other processes reach it: a target's or the platform's
	// listener, a VM's listener for peers.
	address, operators string
	// callers is the listener for callers, which loads read during a restart.
	callers atomic.Pointer[string]

	cmd    *exec.Cmd
	starts int
	exited chan struct{}
	// stopped is set between SIGSTOP and SIGCONT.
	stopped bool
	outputs []string
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// launch starts the process and waits until it says where it listens.
func (w *world) launch(p *process, args []string) error {
	p.starts++
	name := filepath.Join(w.dir, "log", fmt.Sprintf("%s.%d", p.id, p.starts))
	out, err := os.Create(name)
	if err != nil {
		return err
	}
	defer out.Close()
	p.outputs = append(p.outputs, name)
	p.cmd = exec.Command("celeryhook", args...)
	p.cmd.Env = append(os.Environ(), cutsVariable+"="+w.cutFile(p.id))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel ends stopped members of a process group with SIGHUP when the
	// shell that started the tests ends, so each process has its own group.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.exited, p.stopped = make(chan struct{}), false
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.id, err)
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return eventually("listener of "+p.id, func() error {
		if !p.running() {
			return fatal(fmt.Errorf("%s ended: %s", p.id, p.tail()))
		}
		return p.findAddresses(name)
	})
}

// findAddresses reads the listeners' addresses out of the process's output.
func (p *process) findAddresses(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for line := range bytes.Lines(data) {
		if address, ok := bytes.CutPrefix(line, []byte("listening on ")); ok {
			p.address = strings.TrimSpace(string(address))
			return nil
		}
		var started struct{ Msg, Callers, Peers, Operators string }
		if json.Unmarshal(line, &started) == nil && started.Msg == "entry VM started" {
			p.address, p.operators = started.Peers, started.Operators
			p.callers.Store(&started.Callers)
			return nil
		}
	}
	return fmt.Errorf("%s has not said where it listens", p.id)
}

func (p *process) tail() string {
	data, _ := os.ReadFile(p.outputs[len(p.outputs)-1])
	return string(data[max(0, len(data)-2000):])
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s is not running", p.id)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends a process and notes the time in a target's run log, since runs
// without an end ended then.
func (w *world) kill(p *process) error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	if p.kind != kindTarget {
		return nil
	}
	return w.noteDeath(p)
}

// term ends a process gracefully.
func (w *world) term(p *process) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(progress):
		return fmt.Errorf("%s did not end in %v", p.id, progress)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s ended with code %d: %s", p.id, code, p.tail())
	}
	if p.kind == kindTarget {
		return w.noteDeath(p)
	}
	return nil
}

// broken returns what no process may write: a data race or a panic.
func (p *process) broken() error {
	for _, name := range p.outputs {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(data, []byte(sign)); i >= 0 {
				return fmt.Errorf("%s: %s", p.id, data[i:min(len(data), i+3000)])
			}
		}
	}
	return nil
}

// fatalError ends eventually at once.
type fatalError struct{ error }

func fatal(err error) error { return fatalError{err} }

// eventually waits until try succeeds.
func eventually(what string, try func() error) error {
	deadline := time.Now().Add(progress)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if _, ok := err.(fatalError); ok || time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v: %w", what, progress, err)
		}
		time.Sleep(poll)
	}
}
