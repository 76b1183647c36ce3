package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// lossyProxy forwards connections to an address. It can lose the state of all open
// connections: they stay open but no more data is forwarded. New connections work.
type lossyProxy struct {
	address wire.Address
	mu      sync.Mutex
	lost    *atomic.Bool // of the connections opened since the last loss
}

func startLossyProxy(t *testing.T, to wire.Address) *lossyProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	proxy := &lossyProxy{address: wire.Address(l.Addr().String()), lost: new(atomic.Bool)}
	var goroutines sync.WaitGroup
	var conns []net.Conn
	goroutines.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", string(to))
			if err != nil {
				in.Close()
				continue
			}
			proxy.mu.Lock()
			lost := proxy.lost
			conns = append(conns, in, out)
			proxy.mu.Unlock()
			goroutines.Go(func() { copyUntilLost(in, out, lost) })
			goroutines.Go(func() { copyUntilLost(out, in, lost) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		proxy.mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		proxy.mu.Unlock()
		goroutines.Wait()
	})
	return proxy
}

func copyUntilLost(from, to net.Conn, lost *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if lost.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			to.Close()
			return
		}
	}
}

// loseOpenConnections stops forwarding on all open connections.
func (p *lossyProxy) loseOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost.Store(true)
	p.lost = new(atomic.Bool)
}

// startPairBehindProxy starts an ingress node and an owning node whose connections go
// through a lossyProxy.
func startPairBehindProxy(t *testing.T) (ingress *node, proxy *lossyProxy, target *testTarget) {
	control := startControl(t)
	owner, _ := startNode(t, control, "owner")
	proxy = startLossyProxy(t, owner.settings.PeerListen)
	control.advertiseAddress("owner", proxy.address)
	target = startTarget(t, owner, "catalogue", true)
	ingress, _ = startNode(t, control, "ingress")
	awaitServing(control, owner, ingress)
	return ingress, proxy, target
}

// Guards against requests that hang or fail because open connections no longer transfer any
// data, and against a request with an idempotency key that runs twice because of that.
func TestSilentConnections(t *testing.T) {
	tests := map[string]struct {
		method       string
		whileRunning bool // the connection is lost while the request runs
	}{
		"idle, repeatable":           {method: http.MethodGet},
		"idle, not repeatable":       {method: http.MethodPost},
		"during run, repeatable":     {method: http.MethodGet, whileRunning: true},
		"during run, not repeatable": {method: http.MethodPost, whileRunning: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ingress, proxy, target := startPairBehindProxy(t)
			address := string(ingress.settings.CallerListen)
			_, _, _ = sendRequest(t, http.MethodGet, address, "/catalogue/first", nil, "")
			done := make(chan string, 1)
			if !tt.whileRunning {
				proxy.loseOpenConnections()
			}
			h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
			go func() {
				_, _, body, _ := trySendRequest(tt.method, address, "/catalogue/blanket?work=300", h, "")
				done <- body
			}()
			if tt.whileRunning {
				eventually(func() bool { return len(target.Runs()) == 2 })
				proxy.loseOpenConnections()
			}
			c.Assert(<-done, qt.Contains, `"Key":"blanket"`)
			if tt.method == http.MethodPost {
				c.Assert(target.Runs(), qt.HasLen, 2)
			}
		})
	}
}

// Guards against a connection that is taken for dead because the target pauses within a
// response, and against a lost one that is taken for alive.
func TestPauseWithinResponse(t *testing.T) {
	c := qt.New(t)
	ingress, proxy, target := startPairBehindProxy(t)
	address := string(ingress.settings.CallerListen)
	_, _, body := sendRequest(t, http.MethodGet, address, "/catalogue/blanket?chunks=2&delay=2000", nil, "")
	c.Assert(strings.Count(body, "chunk"), qt.Equals, 2)
	ends := make(chan error, 1)
	go func() {
		_, _, _, err := trySendRequest(http.MethodGet, address, "/catalogue/blanket?chunks=1000&delay=10", nil, "")
		ends <- err
	}()
	eventually(func() bool { return len(target.Runs()) == 2 })
	proxy.loseOpenConnections()
	c.Assert(<-ends, qt.IsNotNil)
}
