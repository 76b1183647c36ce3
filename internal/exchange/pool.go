package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// defaultIdleLimit closes idle connections before usual servers do (Go's
	// and nginx's defaults are 60 s and more), and before state on the path is lost.
	defaultIdleLimit clock.Millis = 5000
	// defaultDialTimeout bounds connecting to a host that does not answer; a
	// connection takes about 1 ms.
	defaultDialTimeout clock.Millis = 300
	// defaultMaxPerAddress is about what one upstream accepts.
	defaultMaxPerAddress = 100
	// reapEvery is how often idle connections are checked against their limit.
	reapEvery clock.Millis = 1000
)

// Options configure a Pool. Zero values give the defaults.
type Options struct {
	// MaxPerAddress bounds open connections to one address.
	MaxPerAddress int
	// IdleConnTimeout is how long an unused connection is kept.
	IdleConnTimeout clock.Millis
	// DialTimeout bounds connecting.
	DialTimeout clock.Millis
	Clock       clock.Clock
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	options Options

	mu        sync.Mutex
	addresses map[string]*addressPool
	closed    bool
	ending    map[*conn]bool // of requests that were given up
}

// addressPool holds the connections to one address. A slot is held for each
// connection in use, and a new connection is made only when none is idle, so
// the connections in use and idle together stay within the bound.
type addressPool struct {
	slots chan struct{}
	idle  []*conn // the most recently used last
}

// NewPool returns an empty pool. Run closes idle connections.
func NewPool(o Options) *Pool {
	if o.MaxPerAddress <= 0 {
		o.MaxPerAddress = defaultMaxPerAddress
	}
	if o.IdleConnTimeout <= 0 {
		o.IdleConnTimeout = defaultIdleLimit
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Clock.Now == nil {
		o.Clock = clock.System()
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Pool{options: o, addresses: make(map[string]*addressPool), ending: make(map[*conn]bool)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Run closes connections that were idle for too long, and all idle connections
// when ctx ends, with those of requests that were given up. After that no
// connection is kept.
func (p *Pool) Run(ctx context.Context) error {
	for p.options.Clock.Sleep(ctx, reapEvery) == nil {
		p.closeIdle(p.options.Clock.Now() - p.options.IdleConnTimeout)
	}
	p.mu.Lock()
	p.closed = true
	for c := range p.ending {
		_ = c.raw.Close()
	}
	p.mu.Unlock()
	p.closeIdle(p.options.Clock.Now() + 1)
	return nil
}

// CloseIdle closes the idle connections to an address, for use when its server
// is known to be gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[address]
	if a == nil {
		return
	}
	for _, c := range a.idle {
		_ = c.raw.Close()
	}
	a.idle = nil
}

// closeIdle closes the connections that became idle before the time.
func (p *Pool) closeIdle(before clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addresses {
		kept := a.idle[:0]
		for _, c := range a.idle {
			if c.idleSince >= before {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		clear(a.idle[len(kept):])
		a.idle = kept
	}
}

// take returns a connection that nobody else uses. Its errors mean that no byte
// was written.
func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	a := p.address(address)
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, merry.Wrap(ErrPoolExhausted, merry.WithCause(ctx.Err()), merry.AppendMessage(address))
	}
	if c := p.takeIdle(a, fresh); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, a, address)
	if err != nil {
		<-a.slots
		return nil, err
	}
	return c, nil
}

func (p *Pool) address(address string) *addressPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[address]
	if a == nil {
		a = &addressPool{slots: make(chan struct{}, p.options.MaxPerAddress)}
		p.addresses[address] = a
	}
	return a
}

// takeIdle returns the most recently used connection that is still open. With
// fresh it returns none, and makes room for a new connection.
func (p *Pool) takeIdle(a *addressPool, fresh bool) *conn {
	oldest := p.options.Clock.Now() - p.options.IdleConnTimeout
	for {
		c := p.popIdle(a, fresh)
		if c == nil {
			return nil
		}
		if !fresh && c.idleSince >= oldest && c.open() {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *Pool) popIdle(a *addressPool, fresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(a.idle)
	if n == 0 {
		return nil
	}
	if fresh && n+len(a.slots) <= cap(a.slots) {
		return nil
	}
	c := a.idle[n-1]
	a.idle[n-1] = nil
	a.idle = a.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context, a *addressPool, address string) (*conn, error) {
	dialling, cancel := context.WithTimeout(ctx, p.options.DialTimeout.Duration())
	defer cancel()
	raw, err := p.options.Dial(dialling, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, merry.Wrap(ErrConnectionRefused, merry.WithCause(err), merry.AppendMessage(address))
	}
	if err != nil {
		return nil, merry.Wrap(ErrConnect, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return newConn(raw, a), nil
}

// put keeps a connection whose last response was read to its clean end.
func (p *Pool) put(c *conn) {
	c.idleSince = p.options.Clock.Now()
	p.mu.Lock()
	keep := !p.closed
	if keep {
		c.address.idle = append(c.address.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.raw.Close()
	}
	<-c.address.slots
}

// beginEnd notes a connection whose server may still work on a request. It returns
// false when the pool is closed.
func (p *Pool) beginEnd(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.ending[c] = true
	}
	return !p.closed
}

func (p *Pool) endEnd(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ending, c)
}

// drop closes a connection that must not be used again.
func (p *Pool) drop(c *conn) {
	_ = c.raw.Close()
	<-c.address.slots
}
