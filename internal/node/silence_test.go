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

// forgetful passes connections on to an address until it loses track of all
// that are open: they stay open and carry nothing more. New ones work.
type forgetful struct {
	address wire.Address
	mu      sync.Mutex
	lost    *atomic.Bool // of the connections open now
}

func startForgetful(t *testing.T, to wire.Address) *forgetful {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &forgetful{address: wire.Address(l.Addr().String()), lost: new(atomic.Bool)}
	var all sync.WaitGroup
	var conns []net.Conn
	all.Go(func() {
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
			f.mu.Lock()
			lost := f.lost
			conns = append(conns, in, out)
			f.mu.Unlock()
			all.Go(func() { pass(in, out, lost) })
			all.Go(func() { pass(out, in, lost) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		f.mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		f.mu.Unlock()
		all.Wait()
	})
	return f
}

func pass(from, to net.Conn, lost *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if lost.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, e := to.Write(buffer[:n]); err != nil || e != nil {
			to.Close()
			return
		}
	}
}

// lose makes all open connections silent.
func (f *forgetful) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost.Store(true)
	f.lost = new(atomic.Bool)
}

// silentPair returns an ingress node whose connections to the owning node can
// be made silent.
func silentPair(t *testing.T) (ingress *node, between *forgetful, at *target) {
	f := startControl(t)
	owner, _ := startNode(t, f, "owner")
	between = startForgetful(t, owner.settings.PeerListen)
	f.advertise("owner", between.address)
	at = startTarget(t, owner, "catalogue", true)
	ingress, _ = startNode(t, f, "ingress")
	served(f, owner, ingress)
	return ingress, between, at
}

// Guards against requests that hang or fail because open connections went
// silent, and against a pledge that runs twice because of it.
func TestSilentConnections(t *testing.T) {
	tests := map[string]struct {
		method string
		during bool // the connection is lost while the target works
	}{
		"idle, repeatable":           {method: http.MethodGet},
		"idle, not repeatable":       {method: http.MethodPost},
		"during run, repeatable":     {method: http.MethodGet, during: true},
		"during run, not repeatable": {method: http.MethodPost, during: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ingress, between, at := silentPair(t)
			address := string(ingress.settings.CallerListen)
			_, _, _ = ask(t, http.MethodGet, address, "/catalogue/first", nil, "")
			done := make(chan string, 1)
			if !tt.during {
				between.lose()
			}
			h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
			go func() {
				_, _, body, _ := tryAsk(tt.method, address, "/catalogue/blanket?work=300", h, "")
				done <- body
			}()
			if tt.during {
				eventually(func() bool { return len(at.Runs()) == 2 })
				between.lose()
			}
			c.Assert(<-done, qt.Contains, `"Key":"blanket"`)
			if tt.method == http.MethodPost {
				c.Assert(at.Runs(), qt.HasLen, 2)
			}
		})
	}
}

// Guards against a live stream that is taken for a silent connection, and
// against a lost one that is taken for alive.
func TestPauseWithinResponse(t *testing.T) {
	c := qt.New(t)
	ingress, between, at := silentPair(t)
	address := string(ingress.settings.CallerListen)
	_, _, body := ask(t, http.MethodGet, address, "/catalogue/blanket?chunks=2&delay=2000", nil, "")
	c.Assert(strings.Count(body, "chunk"), qt.Equals, 2)
	ends := make(chan error, 1)
	go func() {
		_, _, _, err := tryAsk(http.MethodGet, address, "/catalogue/blanket?chunks=1000&delay=10", nil, "")
		ends <- err
	}()
	eventually(func() bool { return len(at.Runs()) == 2 })
	between.lose()
	c.Assert(<-ends, qt.IsNotNil)
}
