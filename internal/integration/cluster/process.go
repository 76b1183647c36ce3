package cluster

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Process is one process of the system. After it has exited, it can be started again
// with the same settings and address.
type Process struct {
	Name string

	program    string
	args       []string
	env        []string
	address    wire.Address
	outputFile string
	output     io.Writer // in place of outputFile, if set

	mu    sync.Mutex
	child *exec.Cmd
	ended chan struct{}
	err   error
}

// ProcessOptions describe a process that belongs to no Cluster.
type ProcessOptions struct {
	Name, Program          string
	Arguments, Environment []string
	// Address is one that the process listens on once it has started.
	Address wire.Address
	// Output receives the output through a pipe, to which LimitFileSize does not apply.
	Output io.Writer
}

// NewProcess returns a process that is not started yet.
func NewProcess(o ProcessOptions) *Process {
	return &Process{Name: o.Name, program: o.Program, args: o.Arguments, env: o.Environment, address: o.Address, outputFile: os.DevNull, output: o.Output}
}

// Addr returns the address that the process listens on.
func (p *Process) Addr() wire.Address { return p.address }

// PID returns the process id, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child == nil {
		return 0
	}
	return p.child.Process.Pid
}

// Start starts the process and returns once it listens.
func (p *Process) Start(ctx context.Context) error {
	if err := p.launch(); err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessagef("%s: %s", p.Name, err.Error()))
	}
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	ended := p.Ended()
	for {
		d := net.Dialer{}
		conn, err := d.DialContext(ctx, "tcp", string(p.address))
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ended:
			return merry.Wrap(ErrStart, merry.AppendMessagef("%s ended at once; see %s", p.Name, p.outputFile))
		default:
		}
		if clock.System().Sleep(ctx, pollInterval) != nil {
			return merry.Wrap(ErrStart, merry.AppendMessagef("%s did not listen at %s in time", p.Name, p.address))
		}
	}
}

func (p *Process) launch() error {
	out, err := os.OpenFile(p.outputFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	child := exec.Command(p.program, p.args...)
	child.Stdout, child.Stderr = out, out
	if p.output != nil {
		child.Stdout, child.Stderr = p.output, p.output
	}
	child.Env = append(os.Environ(), p.env...)
	// Kill the child if the test itself is killed.
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := make(chan struct{})
	started := make(chan error)
	go p.run(child, started, ended)
	return <-started
}

// run starts the child, sends the result to started, and closes ended when the child
// has exited.
func (p *Process) run(child *exec.Cmd, started chan<- error, ended chan struct{}) {
	// The kernel sends the parent death signal when the thread that started the child
	// ends, so this goroutine keeps its thread until the child exits.
	runtime.LockOSThread()
	p.mu.Lock()
	err := child.Start()
	if err == nil {
		p.child, p.ended, p.err = child, ended, nil
	}
	p.mu.Unlock()
	started <- err
	if err != nil {
		return
	}
	err = child.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

// Ended returns a channel that is closed when the process has exited. For a process
// that was never started, the channel is closed already.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.ended
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.Ended():
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. It has no effect if the process has exited or
// was never started.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child != nil {
		_ = p.child.Process.Signal(s)
	}
}

// Kill sends SIGKILL, which also ends a paused process, and waits until the process has
// exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.Ended()
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// LimitFileSize makes the process's writes beyond this size of a file fail, as on a full
// disk, until the next call or start. unix.RLIM_INFINITY ends it.
func (p *Process) LimitFileSize(bytes uint64) error {
	return unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
}

// Stop sends SIGTERM and waits until the process has exited. The error is ErrStop if it
// does not exit before ctx ends or exits with an error.
func (p *Process) Stop(ctx context.Context) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
	case <-ctx.Done():
		return merry.Wrap(ErrStop, merry.AppendMessagef("%s is still running", p.Name))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return merry.Wrap(ErrStop, merry.WithCause(p.err), merry.AppendMessagef("%s: %s", p.Name, p.err.Error()))
	}
	return nil
}

// Restart kills the process if it is running and starts it again.
func (p *Process) Restart(ctx context.Context) error {
	p.Kill()
	return p.Start(ctx)
}

// writeSettings writes settings as JSON and creates the folder of the file.
func writeSettings(file string, s any) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return nil
}
