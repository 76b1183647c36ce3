package rpc

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

var errClosed = merry.Wrap(ErrConnect, merry.AppendMessage("client is closed"))

// Client calls one server over one connection, which it dials when first
// needed and again after a loss. It is safe for concurrent use.
type Client struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	traffic traffic

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	dialing *dialAttempt
	closed  bool
}

// dialAttempt is shared by all calls that wait for the same connection, so that
// calls to a host that does not answer time out together and not one after the
// other.
type dialAttempt struct {
	done chan struct{}
	conn *jsonrpc2.Conn
	err  error
}

// NewClient returns a client of the server at address. It does not connect yet.
func NewClient(address string) *Client {
	return &Client{address: address, dial: dialTCP}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", address)
}

// Address returns the server's address.
func (c *Client) Address() string { return c.address }

// Traffic returns the bytes sent and received over all connections so far,
// framing and pings included, IP and TCP headers not.
func (c *Client) Traffic() (sent, received uint64) {
	return c.traffic.sent.Load(), c.traffic.received.Load()
}

// Close closes the connection. Calls in progress end with ErrLost.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn, c.closed = nil, true
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Call sends a request and waits for the response. The error is ErrConnect when
// the request did not reach the server, an *Error when the server answered with
// one, and ErrLost when it may or may not have taken effect.
func Call[Response any](ctx context.Context, c *Client, method string, request any) (Response, error) {
	var out Response
	conn, err := c.connection(ctx)
	if err != nil {
		return out, err
	}
	err = conn.Call(ctx, method, request, &out)
	return out, c.translate(ctx, conn, err)
}

// Notify sends a message that has no response. A nil error does not mean that
// it arrived.
func (c *Client) Notify(ctx context.Context, method string, message any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	return c.translate(ctx, conn, conn.Notify(ctx, method, message))
}

func (c *Client) translate(ctx context.Context, conn *jsonrpc2.Conn, err error) error {
	if err == nil {
		return nil
	}
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return fromWire(e)
	}
	// A caller that gives up says nothing about the connection; a missed
	// deadline does.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.discard(conn)
	}
	return merry.Wrap(ErrLost, merry.WithCause(err), merry.AppendMessagef("%s: %v", c.address, err))
}

func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
}

func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	if c.conn != nil && !isDisconnected(c.conn) {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	a := c.dialing
	if a == nil {
		a = &dialAttempt{done: make(chan struct{})}
		c.dialing = a
		// The connection outlives the call that dialled it.
		go c.connect(context.WithoutCancel(ctx), a)
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

// connect dials once, bounded by dialTimeout, and reports by closing a.done.
func (c *Client) connect(ctx context.Context, a *dialAttempt) {
	defer close(a.done)
	raw, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	if err != nil {
		a.err = merry.Wrap(ErrConnect, merry.WithCause(err), merry.AppendMessage(err.Error()))
		return
	}
	if c.closed {
		_ = raw.Close()
		a.err = errClosed
		return
	}
	live := &liveConn{Conn: raw, silence: clientSilence, traffic: &c.traffic}
	live.heard.Store(int64(clock.System().Now()))
	stream := jsonrpc2.NewBufferedStream(live, frameCodec{})
	c.conn = jsonrpc2.NewConn(ctx, stream, refuseAll{}, quiet)
	a.conn = c.conn
	go c.keepAlive(c.conn, live)
}

// keepAlive pings an idle connection until it ends. The read deadline of
// liveConn closes a connection whose pings go unanswered. Responses to other
// calls prove as much as a ping, and pings beside them cost a node a fifth of its
// budget for control traffic.
func (c *Client) keepAlive(conn *jsonrpc2.Conn, live *liveConn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-conn.DisconnectNotify()
		cancel()
	}()
	k := clock.System()
	for {
		idle := k.Now() - clock.Millis(live.heard.Load())
		if idle < pingEvery {
			if k.Sleep(ctx, pingEvery-idle) != nil {
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

// refuseAll answers requests that a server sends to a client; there are none in
// this protocol.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients serve no methods"})
}
