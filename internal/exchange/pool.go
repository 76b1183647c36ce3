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
	// defaultIdleConnTimeout closes idle connections before common servers do (the
	// defaults of Go and nginx are 60 s and more) and before devices on the network
	// path drop their connection state.
	defaultIdleConnTimeout clock.Millis = 5000
	// defaultDialTimeout bounds connecting to a host that does not respond. A
	// successful dial takes about 1 ms.
	defaultDialTimeout clock.Millis = 300
	// defaultMaxPerAddress is about the number of connections that one target accepts.
	defaultMaxPerAddress = 100
	// idleCheckInterval is how often the pool looks for connections that were idle for
	// too long.
	idleCheckInterval clock.Millis = 1000
)

// Options configure a Pool. Zero values give the defaults.
type Options struct {
	// MaxPerAddress bounds the open connections to one address.
	MaxPerAddress int
	// IdleConnTimeout is how long an unused connection is kept.
	IdleConnTimeout clock.Millis
	// DialTimeout bounds connecting.
	DialTimeout clock.Millis
	Clock       clock.Clock
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps open connections for reuse, by address. It is safe for concurrent
// use.
type Pool struct {
	options Options

	mu        sync.Mutex
	addresses map[string]*addressPool
	closed    bool
	ending    map[*conn]bool // connections of cancelled requests whose server may still work on them
}

// addressPool holds the connections to one address. Each connection in use
// occupies a slot, and a connection is dialled only when none is idle or there is
// spare capacity for it, so the connections in use and the idle ones together
// stay within MaxPerAddress.
type addressPool struct {
	slots chan struct{}
	idle  []*conn // the most recently used connection is last
}

// NewPool returns an empty pool. Idle connections are closed only while Run is
// running.
func NewPool(o Options) *Pool {
	if o.MaxPerAddress <= 0 {
		o.MaxPerAddress = defaultMaxPerAddress
	}
	if o.IdleConnTimeout <= 0 {
		o.IdleConnTimeout = defaultIdleConnTimeout
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

// Run closes connections that were idle for longer than IdleConnTimeout. When ctx
// ends, it closes all idle connections and the connections of cancelled requests;
// from then on the pool keeps no connection.
func (p *Pool) Run(ctx context.Context) error {
	for p.options.Clock.Sleep(ctx, idleCheckInterval) == nil {
		p.closeIdleBefore(p.options.Clock.Now() - p.options.IdleConnTimeout)
	}
	p.mu.Lock()
	p.closed = true
	for c := range p.ending {
		_ = c.raw.Close()
	}
	p.mu.Unlock()
	p.closeIdleBefore(p.options.Clock.Now() + 1)
	return nil
}

// CloseIdle closes the idle connections to an address. It is for use when the
// server at the address is known to have stopped.
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

// closeIdleBefore closes the connections that became idle before t.
func (p *Pool) closeIdleBefore(t clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.addresses {
		kept := a.idle[:0]
		for _, c := range a.idle {
			if c.idleSince >= t {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		clear(a.idle[len(kept):])
		a.idle = kept
	}
}

// acquire returns a connection that no other request uses. It waits until the
// address has a free slot or ctx ends. If it returns an error, no byte was
// written.
func (p *Pool) acquire(ctx context.Context, address string, newConnection bool) (*conn, error) {
	a := p.addressPool(address)
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, merry.Wrap(ErrPoolExhausted, merry.WithCause(ctx.Err()), merry.AppendMessage(address))
	}
	if c := p.acquireIdle(a, newConnection); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, a, address)
	if err != nil {
		<-a.slots
		return nil, err
	}
	return c, nil
}

func (p *Pool) addressPool(address string) *addressPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addresses[address]
	if a == nil {
		a = &addressPool{slots: make(chan struct{}, p.options.MaxPerAddress)}
		p.addresses[address] = a
	}
	return a
}

// acquireIdle returns the most recently used idle connection that is still open,
// or nil. With newConnection it always returns nil, and closes idle connections
// until there is spare capacity for a new one.
func (p *Pool) acquireIdle(a *addressPool, newConnection bool) *conn {
	oldestIdle := p.options.Clock.Now() - p.options.IdleConnTimeout
	for {
		c := p.popIdle(a, newConnection)
		if c == nil {
			return nil
		}
		if !newConnection && c.idleSince >= oldestIdle && c.isOpen() {
			return c
		}
		_ = c.raw.Close()
	}
}

// popIdle removes and returns the most recently used idle connection. With
// newConnection it returns nil once there is spare capacity for a new connection.
func (p *Pool) popIdle(a *addressPool, newConnection bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(a.idle)
	if n == 0 {
		return nil
	}
	if newConnection && n+len(a.slots) <= cap(a.slots) {
		return nil
	}
	c := a.idle[n-1]
	a.idle[n-1] = nil
	a.idle = a.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context, a *addressPool, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout.Duration())
	defer cancel()
	raw, err := p.options.Dial(dialCtx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, merry.Wrap(ErrConnectionRefused, merry.WithCause(err), merry.AppendMessage(address))
	}
	if err != nil {
		return nil, merry.Wrap(ErrConnect, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return newConn(raw, a), nil
}

// release returns a connection to the pool. Its last response must have been read
// completely.
func (p *Pool) release(c *conn) {
	c.idleSince = p.options.Clock.Now()
	p.mu.Lock()
	keep := !p.closed
	if keep {
		c.addressPool.idle = append(c.addressPool.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.raw.Close()
	}
	<-c.addressPool.slots
}

// trackEnding records a connection of a cancelled request on which the server may
// still work, so that Run can close it. It returns false if the pool is closed.
func (p *Pool) trackEnding(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.ending[c] = true
	}
	return !p.closed
}

func (p *Pool) untrackEnding(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ending, c)
}

// discard closes a connection that must not be reused.
func (p *Pool) discard(c *conn) {
	_ = c.raw.Close()
	<-c.addressPool.slots
}
