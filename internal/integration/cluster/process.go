package cluster

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Process is one process of the system. It can be started again after it ended,
// with the same settings and address.
type Process struct {
	Name string

	program    string
	args       []string
	env        []string
	address    wire.Address
	outputFile string

	mu    sync.Mutex
	child *exec.Cmd
	ended chan struct{}
	err   error
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
			return merry.Wrap(ErrStart, merry.AppendMessagef("%s does not listen at %s", p.Name, p.address))
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
	child.Env = append(os.Environ(), p.env...)
	// A test that is killed must not leave its processes behind.
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := make(chan struct{})
	started := make(chan error)
	go p.run(child, started, ended)
	return <-started
}

// run starts the child and waits for it.
func (p *Process) run(child *exec.Cmd, started chan<- error, ended chan struct{}) {
	// The parent death signal is tied to the thread that started the child, so
	// this goroutine keeps its thread until the child ends.
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

// Ended returns a channel that is closed when the process has ended. It is
// closed already for a process that was never started.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	return p.ended
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Ended():
		return false
	default:
		return true
	}
}

// signal sends a signal by process id; it has no effect on an ended process.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child != nil {
		_ = p.child.Process.Signal(s)
	}
}

// Kill ends the process at once, also a paused one, and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.Ended()
}

// Pause freezes the process.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to stop and waits for it. The error is ErrStop when it
// does not end in time or ends with a failure.
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

// Restart kills the process if it runs and starts it again.
func (p *Process) Restart(ctx context.Context) error {
	p.Kill()
	return p.Start(ctx)
}

// writeSettings writes settings as JSON.
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
