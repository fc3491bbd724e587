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
	// progressTimeout limits the wait for anything that must happen eventually.
	progressTimeout = 30 * time.Second
	pollInterval    = 10 * time.Millisecond
)

type processKind string

const (
	kindPlatform processKind = "platform"
	kindTarget   processKind = "target"
	kindVM       processKind = "vm"
)

// process is one process of the program under test.
type process struct {
	id     string
	kind   processKind
	domain string
	// service is set for a target.
	service string
	// args are the arguments without the address, reused on a restart.
	args []string
	// address is the listener for other processes: the only one of a target or
	// the platform, and a VM's listener for peers.
	address, operatorsAddress string
	// callersAddress is a VM's listener for callers. It is atomic because loads
	// read it while a restart changes it.
	callersAddress atomic.Pointer[string]

	cmd        *exec.Cmd
	startCount int
	exited     chan struct{}
	// suspended is set between SIGSTOP and SIGCONT.
	suspended   bool
	outputFiles []string
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

// launch starts the process and waits until it logs its listen addresses.
func (c *cluster) launch(p *process, args []string) error {
	p.startCount++
	name := filepath.Join(c.dir, "log", fmt.Sprintf("%s.%d", p.id, p.startCount))
	out, err := os.Create(name)
	if err != nil {
		return err
	}
	defer out.Close()
	p.outputFiles = append(p.outputFiles, name)
	p.cmd = exec.Command("celeryhook", args...)
	p.cmd.Env = append(os.Environ(), partitionsEnv+"="+c.partitionFile(p.id))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// Each process has its own group: when the shell that started the tests
	// exits, the kernel ends the suspended members of its groups with SIGHUP.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.exited, p.suspended = make(chan struct{}), false
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.id, err)
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return eventually("listen address of "+p.id, func() error {
		if !p.running() {
			return permanent(fmt.Errorf("%s exited: %s", p.id, p.outputTail()))
		}
		return p.findAddresses(name)
	})
}

// findAddresses reads the listen addresses from the output of the process.
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
			p.address, p.operatorsAddress = started.Peers, started.Operators
			p.callersAddress.Store(&started.Callers)
			return nil
		}
	}
	return fmt.Errorf("%s has not logged its listen addresses", p.id)
}

func (p *process) outputTail() string {
	data, _ := os.ReadFile(p.outputFiles[len(p.outputFiles)-1])
	return string(data[max(0, len(data)-2000):])
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s is not running", p.id)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends a process with SIGKILL. It appends the time to a target's run log, as
// the end of the runs that were in progress.
func (c *cluster) kill(p *process) error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	if p.kind != kindTarget {
		return nil
	}
	return c.recordExit(p)
}

// terminate stops a process gracefully and checks that it exits with code 0.
func (c *cluster) terminate(p *process) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(progressTimeout):
		return fmt.Errorf("%s did not exit within %v", p.id, progressTimeout)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d: %s", p.id, code, p.outputTail())
	}
	if p.kind == kindTarget {
		return c.recordExit(p)
	}
	return nil
}

// checkOutput returns an error if the process reported a data race or a panic.
func (p *process) checkOutput() error {
	for _, name := range p.outputFiles {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, marker := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(data, []byte(marker)); i >= 0 {
				return fmt.Errorf("%s: %s", p.id, data[i:min(len(data), i+3000)])
			}
		}
	}
	return nil
}

// permanentError makes eventually return without further attempts.
type permanentError struct{ error }

func permanent(err error) error { return permanentError{err} }

// eventually calls condition until it returns nil, up to progressTimeout.
func eventually(description string, condition func() error) error {
	deadline := time.Now().Add(progressTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if _, ok := err.(permanentError); ok || time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met within %v: %w", description, progressTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
