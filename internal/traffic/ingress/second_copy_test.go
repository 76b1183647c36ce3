package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// pipeListener accepts the connections that dial opens in memory.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// behaviour says what a sidecar does with a copy of a request. A copy that is cancelled
// before its time ends at once.
type behaviour struct {
	after  time.Duration
	status int
	reject hop.Reason
	// abort ends the connection without a response, and breakOff in the middle of the body.
	abort, breakOff bool
}

// copiesTest is an ingress and the sidecars of three targets, all in memory.
type copiesTest struct {
	ingress  *Ingress
	outcomes map[string]int
	log      bytes.Buffer

	mu            sync.Mutex
	first, second behaviour
	load          hop.Load
	// firsts and seconds count the copies that arrived, and cancelled those whose connection
	// was closed before their response.
	firsts, seconds, cancelled int
	// targets are those that the copies went to.
	targets []string
}

// startCopiesTest must be called in a synctest bubble. The function change, if set, changes
// the options and the published elements.
func startCopiesTest(t *testing.T, change func(*Options, map[string]any)) *copiesTest {
	start := time.Now()
	clk := clock.Clock{
		Now:   func() clock.Millis { return 1000 + clock.FromDuration(time.Since(start)) },
		Wall:  func() clock.UnixMillis { return clock.UnixMillis(time.Now().UnixMilli()) },
		Sleep: clock.System().Sleep,
	}
	x := &copiesTest{outcomes: map[string]int{}, load: hop.Load{Running: 1, Slots: 8, ServiceMillis: 20}}
	listeners := map[string]*pipeListener{}
	elements := map[string]any{
		message.ItemRoute + "r":       message.Route{Name: "r", HostName: "mesh.example", Prefix: "/tiles/", Repeatable: true, MaxAttempts: 2, Splits: []message.Split{{Service: "tiles", Weight: 1}}},
		message.ItemService + "tiles": message.ServiceSpec{Name: "tiles"},
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		elements[message.ItemInstance+id] = message.Instance{Incarnation: message.Incarnation{ID: message.InstanceID(id), StartTime: 1}, Service: "tiles", Peer: message.Address(id), Slots: 8}
		l := newPipeListener()
		listeners[id] = l
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(w, r, id) })}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(l)
		}()
		t.Cleanup(func() {
			_ = server.Close()
			<-served
		})
	}
	pool := exchange.NewPool(exchange.Options{Clock: clk, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return listeners[address].dial(ctx)
	}})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = pool.Run(ctx)
	})
	options := Options{
		Names: names, Clock: clk, Views: view.NewStore(), Gate: gate.New(gate.Options{Clock: clk}), Pool: pool, PeerAddress: "none",
		RetryRatio: 0.2, ExtraRetries: 64, Log: zerolog.New(&x.log), LogBudget: process.NewLineLimiter(clk, 10),
		SecondCopies: SecondCopies{Ratio: 0.05, Burst: 30, RecordOutcome: func(_, outcome string) { x.outcomes[outcome]++ }},
	}
	if change != nil {
		change(&options, elements)
	}
	items := []message.Item{}
	for name, element := range elements {
		text, err := json.Marshal(element)
		qt.Assert(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Text: string(text)})
	}
	qt.Assert(t, options.Views.Apply(message.WatchReply{Version: 1, Full: true, Items: items}), qt.IsNil)
	x.ingress = New(options)
	// Numbers that are spread evenly: by chance a target could be passed over until its load is not
	// known any more, and then gets no second copy.
	step := 0.0
	x.ingress.balancer = placement.New(clk, options.Domain, func() float64 {
		_, step = math.Modf(step + goldenRatio)
		return step
	})
	return x
}

func (x *copiesTest) serve(w http.ResponseWriter, r *http.Request, target string) {
	request, err := hop.ParseRequest(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	x.mu.Lock()
	b, name, load := x.first, "first", x.load
	if request.SecondCopy {
		b, name = x.second, "second"
		x.seconds++
	} else {
		x.firsts++
	}
	x.targets = append(x.targets, target)
	x.mu.Unlock()
	select {
	case <-time.After(b.after):
	case <-r.Context().Done():
		x.mu.Lock()
		x.cancelled++
		x.mu.Unlock()
		return
	}
	if b.abort {
		panic(http.ErrAbortHandler)
	}
	hop.Reply{Reason: b.reject, Load: load}.SetHeader(w.Header())
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if b.reject != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(names.Signature, name)
	if b.status != 0 {
		w.WriteHeader(b.status)
	}
	if b.breakOff {
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, name)
}

// set sets what the sidecars do from now on.
func (x *copiesTest) set(first, second behaviour, load hop.Load) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.first, x.second, x.load = first, second, load
	x.firsts, x.seconds, x.cancelled, x.targets = 0, 0, 0, nil
}

func (x *copiesTest) newRequest(method string, body io.Reader) *http.Request {
	r := httptest.NewRequest(method, "/tiles/1", body)
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, "q-1")
	r.Header.Set(names.RemainingMillis, "3000")
	return r
}

// duplexRecorder is a recorder that streamed request bodies can be used with.
type duplexRecorder struct{ *httptest.ResponseRecorder }

// EnableFullDuplex is called through http.ResponseController.
func (duplexRecorder) EnableFullDuplex() error { return nil }

func (x *copiesTest) do(r *http.Request) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
			aborted = true
		}
	}()
	x.ingress.ServeHTTP(duplexRecorder{w}, r)
	return w, false
}

// warmUp sends requests of which nine in ten take 20 ms and the others 40 ms, so that a
// second copy is due after about 40 ms. The sidecars then report the load.
func (x *copiesTest) warmUp(load hop.Load) {
	for i := range 200 {
		after := 20 * time.Millisecond
		if i%10 == 0 {
			after = 40 * time.Millisecond
		}
		x.set(behaviour{after: after}, behaviour{}, load)
		_, _ = x.do(x.newRequest(http.MethodGet, nil))
	}
	clear(x.outcomes)
	x.log.Reset()
}

// Guards against second copies that break a promise: of a request that must run once, at a
// target that has no room, beyond a limit, without an end, or with two or half an answer.
func TestSecondCopies(t *testing.T) {
	const ms = time.Millisecond
	free, full := hop.Load{Running: 1, Slots: 8, ServiceMillis: 20}, hop.Load{Running: 8, Slots: 8, ServiceMillis: 20}
	slow, fast := behaviour{after: 1000 * ms}, behaviour{after: 20 * ms}
	route := func(change func(*message.Route)) func(*Options, map[string]any) {
		return func(_ *Options, elements map[string]any) {
			r := elements[message.ItemRoute+"r"].(message.Route)
			change(&r)
			elements[message.ItemRoute+"r"] = r
		}
	}
	instances := func(change func(*message.Instance)) func(*Options, map[string]any) {
		return func(_ *Options, elements map[string]any) {
			for _, id := range []string{"i-0", "i-1", "i-2"} {
				i := elements[message.ItemInstance+id].(message.Instance)
				change(&i)
				elements[message.ItemInstance+id] = i
			}
		}
	}
	tests := map[string]struct {
		change        func(*Options, map[string]any)
		first, second behaviour
		load          hop.Load // zero: free
		method        string
		remaining     string
		bodyBytes     int
		// leaveAfter is when the caller leaves; 0 if it does not.
		leaveAfter time.Duration

		body      string
		status    int
		aborted   bool
		outcome   string // "" if none is recorded
		copies    int
		cancelled int
		took      time.Duration // at most; 0 if not checked
	}{
		"slow first copy":            {first: slow, second: fast, body: "second", outcome: copySecondWon, copies: 1, cancelled: 1, took: 65 * ms},
		"usual first copy":           {first: behaviour{after: 38 * ms}, second: fast, body: "first", took: 40 * ms},
		"first copy is faster":       {first: behaviour{after: 50 * ms}, second: fast, body: "first", outcome: copyFirstWon, copies: 1, cancelled: 1, took: 52 * ms},
		"short body":                 {first: slow, second: fast, bodyBytes: 100, body: "second", outcome: copySecondWon, copies: 1, cancelled: 1},
		"second copy is rejected":    {first: behaviour{after: 300 * ms}, second: behaviour{reject: hop.Busy}, body: "first", outcome: copyFirstWon, copies: 1},
		"second copy fails":          {first: behaviour{after: 300 * ms}, second: behaviour{after: 5 * ms, status: 500}, body: "first", outcome: copyFirstWon, copies: 1},
		"second copy is lost":        {first: behaviour{after: 300 * ms}, second: behaviour{abort: true}, body: "first", outcome: copyFirstWon, copies: 1},
		"first copy fails, copied":   {first: behaviour{after: 60 * ms, status: 500}, second: behaviour{after: 100 * ms}, body: "second", outcome: copySecondWon, copies: 1},
		"first copy is lost, copied": {first: behaviour{after: 60 * ms, abort: true}, second: behaviour{after: 100 * ms}, body: "second", outcome: copySecondWon, copies: 1},
		"both fail":                  {first: behaviour{after: 60 * ms, status: 500}, second: behaviour{after: 5 * ms, reject: hop.Busy}, body: "first", status: 500, outcome: copyNoneWon, copies: 1},
		"both are lost":              {first: behaviour{after: 60 * ms, abort: true}, second: behaviour{after: 5 * ms, abort: true}, status: 502, outcome: copyNoneWon, copies: 1, body: "gentiansail: lost\n"},
		"first breaks off midway":    {first: behaviour{after: 60 * ms, breakOff: true}, second: behaviour{after: 100 * ms}, aborted: true, outcome: copyFirstWon, copies: 1, cancelled: 1},
		"second breaks off midway":   {first: slow, second: behaviour{after: 5 * ms, breakOff: true}, aborted: true, outcome: copySecondWon, copies: 1, cancelled: 1},
		"caller leaves with both":    {first: slow, second: slow, leaveAfter: 200 * ms, aborted: true, outcome: copyNoneWon, copies: 1, cancelled: 2, took: 201 * ms},
		"caller leaves before copy":  {first: slow, second: slow, leaveAfter: 30 * ms, aborted: true, cancelled: 1, took: 31 * ms},
		"must run once":              {change: route(func(r *message.Route) { r.Repeatable = false }), method: http.MethodPost, first: slow, body: "first"},
		"one attempt":                {change: route(func(r *message.Route) { r.MaxAttempts = 1 }), first: slow, body: "first"},
		"off":                        {change: func(o *Options, _ map[string]any) { o.SecondCopies.Ratio = 0 }, first: slow, body: "first"},
		"long body":                  {first: slow, bodyBytes: gate.MaxBufferedBody + 1, body: "first"},
		"targets are full":           {first: slow, load: full, body: "first", outcome: copyBusy},
		"limit is used up":           {change: func(o *Options, _ map[string]any) { o.SecondCopies.CallsPerRun = map[string]int{"r": 50} }, first: slow, body: "first", outcome: copyLimit},
		"no retry budget": {change: func(o *Options, _ map[string]any) {
			o.RetryRatio, o.ExtraRetries, o.SecondCopies.CallsPerRun = 0, 1, map[string]int{"r": 1}
		}, first: slow, body: "first", outcome: copyRetryBudget},
		"too little time": {first: slow, remaining: "50", status: 504, body: "gentiansail: expired\n", outcome: copyLate, cancelled: 1},
		"others are draining": {change: func(o *Options, e map[string]any) {
			instances(func(i *message.Instance) { i.Draining = i.Incarnation.ID != "i-0" })(o, e)
		}, first: slow, body: "first", outcome: copyNoTarget},
		"others are about to stop": {change: func(o *Options, e map[string]any) {
			instances(func(i *message.Instance) { i.Stopping = i.Incarnation.ID != "i-0" })(o, e)
		}, first: slow, body: "first", outcome: copyNoTarget},
		"others are on the same host": {change: instances(func(i *message.Instance) { i.Peer = "i-0" }), first: slow, body: "first", outcome: copyNoTarget},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := startCopiesTest(t, tt.change)
				if tt.load.Slots == 0 {
					tt.load = free
				}
				x.warmUp(tt.load)
				x.set(tt.first, tt.second, tt.load)
				method, status := tt.method, tt.status
				if method == "" {
					method = http.MethodGet
				}
				if status == 0 {
					status = http.StatusOK
				}
				var body io.Reader
				if tt.bodyBytes > 0 {
					body = strings.NewReader(strings.Repeat("b", tt.bodyBytes))
				}
				r := x.newRequest(method, body)
				if tt.remaining != "" {
					r.Header.Set(names.RemainingMillis, tt.remaining)
				}
				if tt.leaveAfter > 0 {
					ctx, cancel := context.WithCancel(r.Context())
					defer cancel()
					time.AfterFunc(tt.leaveAfter, cancel)
					r = r.WithContext(ctx)
				}
				begin := time.Now()
				w, aborted := x.do(r)
				took := time.Since(begin)
				synctest.Wait()
				qt.Check(t, aborted, qt.Equals, tt.aborted)
				if !tt.aborted {
					qt.Check(t, w.Code, qt.Equals, status)
					qt.Check(t, w.Body.String(), qt.Equals, tt.body)
				}
				if tt.took > 0 {
					qt.Check(t, took <= tt.took, qt.IsTrue, qt.Commentf("%v", took))
				}
				x.mu.Lock()
				defer x.mu.Unlock()
				qt.Check(t, x.firsts, qt.Equals, 1)
				qt.Check(t, x.seconds, qt.Equals, tt.copies)
				qt.Check(t, x.cancelled, qt.Equals, tt.cancelled)
				want := map[string]int{}
				if tt.outcome != "" {
					want[tt.outcome] = 1
				}
				qt.Check(t, x.outcomes, qt.DeepEquals, want)
				qt.Check(t, strings.Contains(x.log.String(), `"Event":"second-copy"`), qt.Equals, tt.copies > 0)
				if len(x.targets) == 2 {
					qt.Check(t, x.targets[0], qt.Not(qt.Equals), x.targets[1])
				}
				x.ingress.AwaitCopies()
			})
		})
	}
	qt.Check(t, goleak.Find(), qt.IsNil)
}

// Guards against slots and loads that stay counted after copies were cancelled, and against
// more second copies than the limit allows while all first copies are slow.
func TestSecondCopiesStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := startCopiesTest(t, func(o *Options, _ map[string]any) { o.SecondCopies.Burst = 6 })
		free := hop.Load{Running: 1, Slots: 8, ServiceMillis: 20}
		x.warmUp(free)
		x.set(behaviour{after: time.Second}, behaviour{after: 20 * time.Millisecond}, free)
		const requests = 100
		for range requests {
			_, _ = x.do(x.newRequest(http.MethodGet, nil))
		}
		synctest.Wait()
		x.mu.Lock()
		defer x.mu.Unlock()
		qt.Check(t, x.firsts, qt.Equals, requests)
		qt.Check(t, x.seconds > 0 && float64(x.seconds) <= 6.0/3+0.05*requests, qt.IsTrue, qt.Commentf("%d second copies", x.seconds))
		qt.Check(t, x.cancelled, qt.Equals, x.outcomes[copySecondWon])
		for _, i := range x.ingress.options.Views.Current().Instances("tiles") {
			qt.Check(t, x.ingress.balancer.InFlight(i.Incarnation.ID), qt.Equals, 0)
		}
		x.ingress.AwaitCopies()
	})
}
