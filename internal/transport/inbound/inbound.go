// Package inbound limits what the connections that others open to a process cost it: their
// number, by listener, and the memory that is held for all of them together.
//
// Memory is charged to the connection that causes it, by estimates: the head of a request by
// its bytes and by its lines, since a parsed field costs far more than its bytes, a body up to
// what the listener's handler keeps of it, and a response while it is being written. When more
// than the budget is held, the connections that hold the most for the longest without progress
// are closed. A closed connection states nothing about its request, so it promises nothing.
// When a listener has too many connections, the one that has been without a request or progress
// for the longest is closed, so that new callers are still accepted.
//
// # Usage
//
//	g := inbound.NewGuard(inbound.Limits(memoryMegabytes, maxDescriptors))
//	l = g.Listener(l, inbound.Callers)
//	s := &http.Server{Handler: inbound.Handler(h), ConnContext: inbound.ConnContext, ConnState: inbound.ConnState, MaxHeaderBytes: inbound.MaxHeaderBytes}
//	err := s.Serve(l)
package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// MaxHeaderBytes bounds the head of a request at each listener. Operators set lower limits
	// for callers.
	MaxHeaderBytes = 64 << 10
	// connectionBytes is what an open connection costs: buffers and goroutines. requestBytes is
	// what a request in progress costs in addition.
	connectionBytes = 16 << 10
	requestBytes    = 16 << 10
	// parsedRequestBytes is what a request that waits for its turn costs beside its fields.
	parsedRequestBytes = 2 << 10
	// headByteCost and fieldBytes are what a byte and a line of a head cost. Fields are parsed
	// into maps and slices, of which a request on a route has several copies.
	headByteCost = 2
	fieldBytes   = 384
	// bodyByteCost accounts for buffers that grow by a quarter, and for the ones that they replace.
	bodyByteCost = 1.5
	// bufferedRead is the size of the buffer of net/http, which may hold the beginning of the
	// next request when a request ends.
	bufferedRead = 4 << 10
	// relievedRatio is the fraction of the budget that is still in use after connections have
	// been closed, so that they are not searched for each new byte.
	relievedRatio = 0.85
	// acceptPause is the pause after a connection could not be accepted for want of descriptors.
	acceptPause = 5 * time.Millisecond
	// ordinaryBytes is more than an ordinary connection holds until its body arrives.
	ordinaryBytes = 64 << 10
	// idleAfter is the time after which a connection without a request counts as idle. A new
	// caller sends its request sooner.
	idleAfter = time.Second
	// maxRoomWait bounds how long a connection waits until the memory of closed ones is
	// released, and roomPause is the interval of the checks.
	maxRoomWait = 200 * time.Millisecond
	roomPause   = 2 * time.Millisecond
	// maxAcceptWait bounds how long a listener waits before it accepts a connection while more
	// than heldBackRatio times the budget is held.
	maxAcceptWait = 4 * time.Millisecond
	heldBackRatio = 1.5
	// maxDiscard bounds how long a connection with a malformed request stays open after the
	// response, as in net/http.
	maxDiscard = 500 * time.Millisecond
)

const (
	// memoryRatio is the fraction of the process's memory that may be held for connections. The
	// rest is for control, for the heap's growth between two collections, and for the program.
	memoryRatio = 0.25
	// defaultMemoryMegabytes and defaultDescriptors apply to processes without a limit.
	defaultMemoryMegabytes = 1024
	defaultDescriptors     = 4096
)

// Door is a kind of listener.
type Door struct {
	Name string
	// share is the fraction of the process's descriptors that its connections may use, and
	// minConnections a number that it may use anyway.
	share          float64
	minConnections int
	// heldBody is how much of a body the handler keeps in memory.
	heldBody int
	// heldBack is true if new connections are not accepted for a moment while far more than the
	// budget is held. The other listeners have few connections.
	heldBack bool
	// readsAhead is true if the server charges what it reads itself.
	readsAhead bool
	// frames is true if the listener's protocol is not HTTP.
	frames bool
	// ownIdle is true if the operator's idle timeout does not apply: peers keep connections for longer.
	ownIdle bool
}

// The doors of the processes. The descriptors that they leave are for files and for the
// connections that the process opens itself.
var (
	Callers = Door{Name: "callers", share: 0.4, minConnections: 64, heldBody: 64 << 10, heldBack: true, readsAhead: true}
	Peers   = Door{Name: "peers", share: 0.25, minConnections: 32, heldBody: 64 << 10, heldBack: true, ownIdle: true}
	// Replicas is the listener of a core replica for other processes. What it reads of messages
	// is charged by package rpc.
	Replicas  = Door{Name: "replicas", share: 0.4, minConnections: 64, heldBack: true, readsAhead: true, frames: true}
	Control   = Door{Name: "control", share: 0.05, minConnections: 16, heldBody: 1 << 20}
	Operators = Door{Name: "operators", share: 0.05, minConnections: 16, heldBody: 3 << 20}
	Readiness = Door{Name: "readiness", share: 0.03, minConnections: 16}
	Metrics   = Door{Name: "metrics", share: 0.01, minConnections: 8}
)

// Options configure a Guard.
type Options struct {
	// MaxBytes bounds the memory held for all connections.
	MaxBytes int64
	// Descriptors is the number of descriptors that the process may have.
	Descriptors int
	// OnClose, if set, is called for each connection that a Guard closes. It must not block.
	OnClose func(Closed)
}

// Closed describes a connection that was closed by a Guard.
type Closed struct {
	Door, Remote string
	Reason       Reason
	// Bytes is what was held for the connection.
	Bytes int64
	// Stalled is how long it had been without progress.
	Stalled time.Duration
}

// Reason states why a connection was closed.
type Reason string

// Reasons.
const (
	Memory      Reason = "memory"
	Descriptors Reason = "descriptors"
	// Malformed is a request that net/http gets no more of, so that it responds with 400 and
	// closes the connection.
	Malformed Reason = "malformed"
	// SlowHead is a head that was not complete in time; the response is 408.
	SlowHead Reason = "slow-head"
	// SlowBody is a body that arrives too slowly.
	SlowBody Reason = "slow-body"
	// SlowReader is a client that reads responses too slowly.
	SlowReader Reason = "slow-reader"
	// Idle is a connection without a request for too long.
	Idle Reason = "idle"
)

// Reasons are all reasons.
var Reasons = []Reason{Memory, Descriptors, Malformed, SlowHead, SlowBody, SlowReader, Idle}

// Limits returns the options for a process that is allowed the given memory and number of
// descriptors; 0 means no limit.
func Limits(memoryMegabytes, maxDescriptors int) Options {
	if memoryMegabytes <= 0 {
		memoryMegabytes = defaultMemoryMegabytes
	}
	if maxDescriptors <= 0 {
		maxDescriptors = defaultDescriptors
	}
	return Options{MaxBytes: int64(float64(memoryMegabytes) * memoryRatio * (1 << 20)), Descriptors: maxDescriptors}
}

// Guard limits the connections of all listeners of a process.
type Guard struct {
	options Options
	held    atomic.Int64
	// leaving is the part of held that belongs to connections that are being closed.
	leaving atomic.Int64

	mu       sync.Mutex
	accounts map[string]map[*Account]struct{} // by door
	closed   map[string]map[Reason]int        // by door
}

// NewGuard returns a Guard.
func NewGuard(options Options) *Guard {
	return &Guard{options: options, accounts: map[string]map[*Account]struct{}{}, closed: map[string]map[Reason]int{}}
}

// Held returns the number of bytes held for all connections.
func (g *Guard) Held() int64 { return g.held.Load() }

// Connections returns the number of open connections by door.
func (g *Guard) Connections() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for door, accounts := range g.accounts {
		out[door] = len(accounts)
	}
	return out
}

// ClosedCount returns the number of connections of a door that were closed for a reason.
func (g *Guard) ClosedCount(door string, reason Reason) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed[door][reason]
}

// MaxConnections returns how many connections a door may have.
func (g *Guard) MaxConnections(d Door) int {
	return max(d.minConnections, int(float64(g.options.Descriptors)*d.share))
}

// Listener returns a listener whose connections are limited.
func (g *Guard) Listener(l net.Listener, d Door) net.Listener {
	return &listener{Listener: l, guard: g, door: d, maxConnections: g.MaxConnections(d)}
}

type listener struct {
	net.Listener
	guard          *Guard
	door           Door
	maxConnections int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	if l.door.heldBack {
		l.guard.awaitRoom(maxAcceptWait, func() bool { return l.guard.held.Load() < int64(float64(l.guard.options.MaxBytes)*heldBackRatio) })
	}
	raw, err := l.Listener.Accept()
	for errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		// A descriptor is free again soon. A server would end at this error.
		time.Sleep(acceptPause)
		raw, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	a := &Account{guard: l.guard, door: l.door, raw: raw}
	a.progress()
	l.guard.add(a, l.maxConnections)
	return &conn{Conn: raw, account: a}, nil
}

// add adds the account of a new connection, and closes another one if there are too many.
func (g *Guard) add(a *Account, maxConnections int) {
	g.mu.Lock()
	accounts := g.accounts[a.door.Name]
	if accounts == nil {
		accounts = map[*Account]struct{}{}
		g.accounts[a.door.Name] = accounts
	}
	var victim *Account
	if len(accounts) >= maxConnections {
		for other := range accounts {
			if victim == nil || other.moreIdleThan(victim) {
				victim = other
			}
		}
		delete(accounts, victim)
	}
	accounts[a] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, Descriptors)
	}
	a.Hold(connectionBytes)
}

// remove forgets a connection that has been closed.
func (g *Guard) remove(a *Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.accounts[a.door.Name], a)
}

// close closes a connection. The memory is released once its handler has returned.
func (g *Guard) close(a *Account, reason Reason) {
	if a.leave() {
		g.closeLeaving(a, reason)
	}
}

// leave counts what is held for the connection as being released. It returns false if the
// connection is closed, or about to be.
func (a *Account) leave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaveLocked()
}

// leaveLocked is like leave. a.mu must be held.
func (a *Account) leaveLocked() bool {
	if a.ended || a.leaving {
		return false
	}
	a.leaving = true
	a.guard.leaving.Add(a.held)
	return true
}

// closeLeaving closes a connection that has been marked by leave.
func (g *Guard) closeLeaving(a *Account, reason Reason) {
	a.mu.Lock()
	bytes, cancel := a.held, a.cancel
	a.mu.Unlock()
	stalled := a.stalled()
	_ = a.raw.Close()
	if cancel != nil {
		cancel()
	}
	g.remove(a)
	g.report(a, reason, bytes, stalled)
}

// report counts a connection that is closed, and passes it on.
func (g *Guard) report(a *Account, reason Reason, bytes int64, stalled time.Duration) {
	g.mu.Lock()
	if g.closed[a.door.Name] == nil {
		g.closed[a.door.Name] = map[Reason]int{}
	}
	g.closed[a.door.Name][reason]++
	g.mu.Unlock()
	if g.options.OnClose != nil {
		g.options.OnClose(Closed{Door: a.door.Name, Remote: a.raw.RemoteAddr().String(), Reason: reason, Bytes: bytes, Stalled: stalled})
	}
}

// relieve closes the connections that hold the most for the longest without progress, until
// less than the budget is held.
func (g *Guard) relieve() {
	g.mu.Lock()
	kept := g.held.Load() - g.leaving.Load()
	if kept <= g.options.MaxBytes {
		g.mu.Unlock()
		return // others have been closed meanwhile
	}
	excess := kept - int64(float64(g.options.MaxBytes)*relievedRatio)
	type candidate struct {
		account *Account
		held    int64
		weight  float64
	}
	var candidates []candidate
	for _, accounts := range g.accounts {
		for a := range accounts {
			held := a.Held()
			candidates = append(candidates, candidate{a, held, float64(held) * (1 + a.stalled().Seconds())})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	var victims []*Account
	for _, c := range candidates {
		if excess <= 0 {
			break
		}
		delete(g.accounts[c.account.door.Name], c.account)
		// Marked before g.mu is released, so that the next call does not close others for the
		// same bytes.
		if c.account.leave() {
			excess -= c.held
			victims = append(victims, c.account)
		}
	}
	g.mu.Unlock()
	for _, a := range victims {
		g.closeLeaving(a, Memory)
	}
}

// Account is what is held for one connection. The methods of a nil Account do nothing.
type Account struct {
	guard *Guard
	door  Door
	raw   net.Conn
	// lastProgress is when bytes were last read or written.
	lastProgress atomic.Int64
	// headSince is when the first byte of the head that is being read arrived, or when the request
	// before it was served; 0 if there is none. lateHead is the headSince of one that took too long.
	headSince, lateHead atomic.Int64

	mu   sync.Mutex
	held int64
	// head is what is held for the head that is being read or was read last, body what is held
	// for the body.
	head, body int64
	// headBytes and headLines count those of the current head.
	headBytes, headLines int
	bodyProgress         bodyProgress
	readProgress         readProgress
	// lastBytes and lastLines are those of the last read, which may be part of the next head.
	lastBytes, lastLines int
	serving              bool
	// cancel ends the requests of the connection. net/http does so only once the body has been
	// read.
	cancel context.CancelFunc
	// leaving is true when the guard has closed the connection, ended when it is closed.
	leaving, ended bool
}

// Held returns the number of bytes held for the connection.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Closed reports whether the guard has closed the connection.
func (a *Account) Closed() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *Account) progress() { a.lastProgress.Store(time.Now().UnixNano()) }

func (a *Account) stalled() time.Duration {
	return time.Duration(max(0, time.Now().UnixNano()-a.lastProgress.Load()))
}

// moreIdleThan reports whether a connection should be closed rather than another one.
// Connections without a request come first.
func (a *Account) moreIdleThan(b *Account) bool {
	if idleA, idleB := a.idle(), b.idle(); idleA != idleB {
		return idleA
	}
	return a.lastProgress.Load() < b.lastProgress.Load()
}

func (a *Account) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.serving && a.stalled() > idleAfter
}

// Hold charges bytes to the connection, or releases them if n is negative.
func (a *Account) Hold(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	a.held += n
	if a.leaving {
		a.guard.leaving.Add(n)
	}
	total := a.guard.held.Add(n)
	a.mu.Unlock()
	if n <= 0 || total <= a.guard.options.MaxBytes {
		return
	}
	if total-a.guard.leaving.Load() > a.guard.options.MaxBytes {
		a.guard.relieve()
	}
}

// AwaitParse waits before bytes that may be heads of requests are parsed ahead.
func (a *Account) AwaitParse(b []byte) {
	if a != nil && len(b) > 0 {
		a.await(HeadCost(b))
	}
}

// await makes a connection that holds more than an ordinary one, or will with the next bytes, wait while more than the budget
// is held. The handlers of connections that have been closed release what they hold as soon as
// they run; if that takes too long, this connection is closed too.
func (a *Account) await(next int64) {
	if a.guard.held.Load() <= a.guard.options.MaxBytes || a.Held()+next <= ordinaryBytes {
		return
	}
	a.guard.awaitRoom(maxRoomWait, a.Closed)
	if a.guard.held.Load() > a.guard.options.MaxBytes {
		a.guard.close(a, Memory)
	}
}

// awaitRoom waits while more than the budget is held, until done returns true, but not for
// longer than limit.
func (g *Guard) awaitRoom(limit time.Duration, done func() bool) {
	for waited := time.Duration(0); waited < limit && g.held.Load() > g.options.MaxBytes && !done(); waited += roomPause {
		time.Sleep(roomPause)
	}
}

// end releases all that is held.
func (a *Account) end() {
	a.mu.Lock()
	if !a.ended {
		a.ended = true
		a.guard.held.Add(-a.held)
		if a.leaving {
			a.guard.leaving.Add(-a.held)
		}
		a.held = 0
	}
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	a.guard.remove(a)
}

// HeadCost returns what a parsed head costs while a request waits for its turn.
func HeadCost(head []byte) int64 {
	return int64(bytes.Count(head, newline))*fieldBytes + parsedRequestBytes
}

// ReadPart charges n bytes of a message that is not complete.
func (a *Account) ReadPart(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.progress()
	a.Hold(n)
	a.await(0)
}

// Read charges bytes that the server has read from the connection: those of a head while no
// request is in progress, and those of a body otherwise.
func (a *Account) Read(b []byte) {
	if a == nil || len(b) == 0 {
		return
	}
	a.progress()
	a.mu.Lock()
	var n int64
	if a.serving {
		n = a.chargeBody(len(b))
		if len(b) <= bufferedRead {
			a.lastBytes, a.lastLines = len(b), longestHead(b)
		} else {
			a.lastBytes, a.lastLines = 0, 0 // not through the buffer of net/http
		}
	} else {
		head, body := splitHead(b)
		a.lastBytes, a.lastLines = len(b), longestHead(b)
		a.headBytes += len(head)
		a.headLines += bytes.Count(head, newline)
		n = a.chargeHead() + a.chargeBody(len(body))
	}
	a.mu.Unlock()
	a.Hold(n)
	if n > 0 {
		a.await(0)
	}
}

// ReadRequest charges bytes that the server has read from the connection, where it is known
// which of them belong to the head and which to the body of one request. Lines of a body
// cost nothing.
func (a *Account) ReadRequest(head, body []byte) {
	if a == nil || len(head)+len(body) == 0 {
		return
	}
	a.progress()
	a.mu.Lock()
	var n int64
	if len(body) > 0 {
		n = a.chargeBody(len(body))
	}
	a.lastBytes, a.lastLines = 0, 0 // none of them belong to the next head
	if !a.serving {
		a.headBytes += len(head)
		a.headLines += bytes.Count(head, newline)
		n += a.chargeHead()
	} else {
		// net/http has begun to read the next request before this one has ended.
		a.lastBytes, a.lastLines = len(head), bytes.Count(head, newline)
	}
	a.mu.Unlock()
	a.Hold(n)
	if n > 0 {
		a.await(0)
	}
}

// splitHead returns what belongs to the head that begins in b, or goes on there, and the rest.
func splitHead(b []byte) (head, rest []byte) {
	end := len(b)
	for _, blank := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b[:end], []byte(blank)); i >= 0 {
			end = i + len(blank)
		}
	}
	return b[:end], b[end:]
}

// longestHead returns the largest number of lines in b that may belong to one head, which has
// no blank line in it.
func longestHead(b []byte) int {
	most, lines := 0, 0
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return max(most, lines)
		}
		lines++
		if i == 0 || i == 1 && b[0] == '\r' {
			most, lines = max(most, lines), 0
		}
		b = b[i+1:]
	}
}

// chargeBody adds bytes of the body, and returns the difference. a.mu must be held.
func (a *Account) chargeBody(size int) int64 {
	body := min(a.body+int64(float64(size)*bodyByteCost), int64(float64(a.door.heldBody)*bodyByteCost))
	n := body - a.body
	a.body = body
	return n
}

var newline = []byte("\n")

// chargeHead sets what the head costs, and returns the difference. a.mu must be held.
func (a *Account) chargeHead() int64 {
	// The rest of a body that no handler has read may come before the head.
	size, lines := min(a.headBytes, MaxHeaderBytes), min(a.headLines, MaxHeaderBytes/3)
	head := int64(size)*headByteCost + int64(lines)*fieldBytes
	n := head - a.head
	a.head = head
	return n
}

// begin is called when the head of a request has been read.
func (a *Account) begin() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.serving = true
	a.mu.Unlock()
	a.Hold(requestBytes)
}

// finish is called when a request has ended and the next one may be read.
func (a *Account) finish() {
	if a == nil {
		return
	}
	a.mu.Lock()
	if !a.serving {
		a.mu.Unlock()
		return
	}
	a.serving = false
	released := a.body
	a.body = 0
	a.headBytes, a.headLines = a.lastBytes, a.lastLines
	n := a.chargeHead() - released - requestBytes
	a.mu.Unlock()
	if since := a.headSince.Load(); since != 0 {
		a.headSince.CompareAndSwap(since, time.Now().UnixNano())
	}
	a.Hold(n)
}

// conn is a connection with an account.
type conn struct {
	net.Conn
	account *Account
	framer  framer
	// rejected is true after a malformed request, and substitute is what has to be handed over in
	// place of it.
	rejected   atomic.Bool
	substitute []byte
	// late is true if the request is rejected for the time that its head took.
	late atomic.Bool
	// deadline is the one that the server has set.
	deadlineMu sync.Mutex
	deadline   time.Time
}

// Account returns the account of the connection.
func (c *conn) Account() *Account { return c.account }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	switch {
	case n > 0 && c.account.door.readsAhead:
		c.account.progress()
	case n > 0:
		c.account.Read(b[:n])
		if c.account.Closed() {
			return 0, net.ErrClosed // so that nothing is parsed
		}
	}
	return n, err
}

// read reads bytes up to the first malformed request, and discards those that follow it.
func (c *conn) read(b []byte) (int, error) {
	if len(c.substitute) > 0 {
		n := copy(b, c.substitute)
		c.substitute = c.substitute[n:]
		return n, nil
	}
	waits := !c.account.door.frames && !c.rejected.Load() && c.framer.insideBody()
	if waits {
		c.account.awaitBody()
	}
	n, err := c.readInTime(b)
	for c.rejected.Load() && err == nil {
		_, err = c.Conn.Read(b)
		n = 0
	}
	if errors.Is(err, errLateHead) {
		c.late.Store(true)
		return c.reject(b, 0, SlowHead), nil
	}
	if n == 0 || c.account.door.frames {
		if waits {
			c.account.receiveBody(0, err != nil)
		}
		return n, err
	}
	valid := c.framer.follow(b[:n])
	if waits {
		c.account.receiveBody(n, !c.framer.insideBody())
	}
	if valid < n {
		return c.reject(b, valid, Malformed), nil
	}
	c.account.followHead(c.framer.insideHead())
	return n, err
}

// reject hands over bytes that net/http rejects after the valid ones in b, and returns how many
// b has then.
func (c *conn) reject(b []byte, valid int, reason Reason) int {
	c.rejected.Store(true)
	c.account.followHead(false)
	c.account.guard.report(c.account, reason, c.account.Held(), c.account.stalled())
	handed := copy(b[valid:], malformed)
	c.substitute = malformed[handed:]
	return valid + handed
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	// The bytes are held as long as the other end does not read them, in this buffer and in the
	// one that it was copied from.
	held := int64(2 * len(b))
	c.account.Hold(held)
	defer c.account.Hold(-held)
	c.account.awaitReader()
	n, err := c.Conn.Write(c.replaceLate(b))
	c.account.endWrite()
	if n > 0 {
		c.account.progress()
	}
	if err == nil {
		n = len(b)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.rejected.Load() && !c.account.Closed() {
		c.discard()
	}
	c.account.end()
	return c.Conn.Close()
}

// SetLinger sets how the connection ends when it is closed, as in net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the sending direction. net/http does so before it closes a connection on
// which the other end may still be sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// discard reads what the other end still sends. The kernel would reset the connection because of
// unread bytes, and the other end might not get the response.
func (c *conn) discard() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(maxDiscard)) != nil {
		return
	}
	var b [512]byte
	for {
		if _, err := c.Conn.Read(b[:]); err != nil {
			return
		}
	}
}

// AccountOf returns the account of a connection, or nil.
func AccountOf(c net.Conn) *Account {
	if x, ok := c.(interface{ Account() *Account }); ok {
		return x.Account()
	}
	return nil
}

type contextKey struct{}

// ConnContext is the hook of an http.Server whose handler was returned by Handler.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	a := AccountOf(c)
	if a == nil {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	a.cancel = cancel
	closed := a.leaving || a.ended
	a.mu.Unlock()
	if closed {
		cancel()
	}
	return context.WithValue(ctx, contextKey{}, a)
}

// ConnState is a hook of an http.Server. It ends the request of a connection: net/http may
// read the rest of its body after the handler has returned. It also lets the goroutines of
// other connections run. A connection whose next request has already arrived does not block,
// so it would run until the scheduler preempts it after 10 ms, and an ordinary request would
// wait that long for each connection of a crowd. The response has been sent by then.
func ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		AccountOf(c).finish()
		runtime.Gosched()
	}
}

// Handler returns a handler that tells the accounts of connections when the head of a request
// has been read.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, _ := r.Context().Value(contextKey{}).(*Account)
		a.begin()
		h.ServeHTTP(w, r)
	})
}
