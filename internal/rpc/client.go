package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

var errClosed = merry.Wrap(ErrConnect, merry.AppendMessage("client is closed"))

// Client calls one server over one connection. It dials the connection for the
// first call, and again when a call finds it lost. A Client is safe for concurrent
// use.
type Client struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	traffic traffic
	// mayBeSilent is the function set by KeepSilent.
	mayBeSilent func(clock.Millis) bool

	// dialCtx ends when the client is closed.
	dialCtx    context.Context
	cancelDial context.CancelFunc

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	dialing *dialAttempt
	closed  bool
}

// dialAttempt is one attempt to connect. All calls that need the connection share
// it, so that calls to a host that does not respond time out together instead of
// one after the other.
type dialAttempt struct {
	done chan struct{}
	conn *jsonrpc2.Conn // valid after done is closed, like err
	err  error
}

// NewClient returns a client of the server at address. It does not connect yet.
func NewClient(address string) *Client {
	c := &Client{address: address, dial: dialTCP}
	c.dialCtx, c.cancelDial = context.WithCancel(context.Background())
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// KeepSilent sets a function that is asked whether to keep a connection on which no byte has
// arrived for the given time; without it, such a connection is closed after 750 ms. It must be
// called before the first call. It is for links that the client knows to be congested: a new
// connection would take longer than the bytes that are on their way.
func (c *Client) KeepSilent(mayBeSilent func(silent clock.Millis) bool) { c.mayBeSilent = mayBeSilent }

// Connected reports whether a connection is open, as far as the client knows.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isConnected()
}

// isConnected is Connected for callers that hold c.mu.
func (c *Client) isConnected() bool { return c.conn != nil && !isDisconnected(c.conn) }

// Address returns the server's address.
func (c *Client) Address() string { return c.address }

// Traffic returns the number of bytes sent and received over all connections so
// far. It includes framing and pings, but not IP and TCP headers.
func (c *Client) Traffic() (sent, received uint64) {
	return c.traffic.sent.Load(), c.traffic.received.Load()
}

// Close closes the connection. Calls in progress end with ErrLost.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn, c.closed = nil, true
	c.mu.Unlock()
	c.cancelDial()
	if conn != nil {
		_ = conn.Close()
	}
}

// Call sends a request and waits for the response. The error is ErrConnect if the
// request did not reach the server, an *Error if the server returned an error, and
// ErrLost if the call may or may not have taken effect.
func Call[Response any](ctx context.Context, c *Client, method string, request any) (Response, error) {
	var out Response
	conn, err := c.connection(ctx)
	if err != nil {
		return out, err
	}
	err = conn.Call(ctx, method, request, &out)
	return out, c.callError(ctx, conn, err)
}

// Notify sends a message that has no response. It may not have arrived although
// the error is nil.
func (c *Client) Notify(ctx context.Context, method string, message any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	return c.callError(ctx, conn, conn.Notify(ctx, method, message))
}

// callError converts an error of a call on conn, and closes conn if it may be lost.
func (c *Client) callError(ctx context.Context, conn *jsonrpc2.Conn, err error) error {
	if err == nil {
		return nil
	}
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return errorFromWire(e)
	}
	// A cancelled call does not show that the connection is lost, but a missed
	// deadline may.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.discard(conn)
	}
	return merry.Wrap(ErrLost, merry.WithCause(err), merry.AppendMessagef("%s: %v", c.address, err))
}

// discard closes conn and lets the next call dial a new connection.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// connection returns the open connection. Without one it dials, or waits for the
// dial in progress.
func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	if c.isConnected() {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	a := c.dialing
	if a == nil {
		a = &dialAttempt{done: make(chan struct{})}
		c.dialing = a
		go c.connect(a)
	}
	c.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, merry.Wrap(ErrConnect, merry.WithCause(ctx.Err()), merry.AppendMessage(c.address))
	}
}

func isDisconnected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// connect dials once. After dialTimeout the attempt fails, and with it the calls that wait
// for it, but dialing goes on: on a congested link each connection may take longer than a
// call can wait, and a later call can use it. That call begins another attempt meanwhile,
// since packets that were sent while the host was down are repeated late.
func (c *Client) connect(a *dialAttempt) {
	timer := time.AfterFunc(dialTimeout.Duration(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.endAttempt(a, nil, merry.Wrap(ErrConnect, merry.AppendMessagef("%s: not connected within %d ms", c.address, dialTimeout)))
	})
	ctx, cancel := context.WithTimeout(c.dialCtx, lateDialTimeout.Duration())
	defer cancel()
	raw, err := c.dial(ctx, c.address)
	timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.endAttempt(a, nil, merry.Wrap(ErrConnect, merry.WithCause(err), merry.AppendMessage(err.Error())))
		return
	case c.closed:
		_ = raw.Close()
		c.endAttempt(a, nil, errClosed)
		return
	case c.isConnected():
		_ = raw.Close() // another attempt was faster
	default:
		c.use(raw)
	}
	if c.dialing != nil {
		c.endAttempt(c.dialing, c.conn, nil)
	}
}

// endAttempt ends an attempt, unless it has ended before. c.mu must be held.
func (c *Client) endAttempt(a *dialAttempt, conn *jsonrpc2.Conn, err error) {
	if c.dialing != a {
		return
	}
	c.dialing = nil
	a.conn, a.err = conn, err
	close(a.done)
}

// use makes raw the connection of the client. c.mu must be held.
func (c *Client) use(raw net.Conn) {
	transport := &timeoutConn{Conn: raw, idleTimeout: clientIdleTimeout, mayBeSilent: c.mayBeSilent, traffic: &c.traffic}
	transport.lastReceived.Store(int64(clock.System().Now()))
	stream := jsonrpc2.NewBufferedStream(transport, frameCodec{})
	c.conn = jsonrpc2.NewConn(c.dialCtx, stream, rejectAll{}, discardLog)
	go c.keepAlive(c.conn, transport)
}

// keepAlive pings the connection when it is idle, until the connection ends. If the
// server does not respond to pings, the read deadline of timeoutConn closes the
// connection. There are no pings while other responses arrive, because these show
// as well that the connection works, and additional pings would use a fifth of a
// node's budget for control traffic.
func (c *Client) keepAlive(conn *jsonrpc2.Conn, transport *timeoutConn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-conn.DisconnectNotify()
		cancel()
	}()
	clk := clock.System()
	for {
		idle := clk.Now() - clock.Millis(transport.lastReceived.Load())
		if idle < pingInterval {
			if clk.Sleep(ctx, pingInterval-idle) != nil {
				return
			}
			continue
		}
		var pong struct{}
		if conn.Call(ctx, methodPing, struct{}{}, &pong) != nil {
			c.discard(conn)
			return
		}
	}
}

// rejectAll rejects requests that a server sends to a client. This protocol has
// none.
type rejectAll struct{}

// Handle implements jsonrpc2.Handler.
func (rejectAll) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "client does not accept calls"})
}
