package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// micros is a time since the start of the run, or a duration, in microseconds.
// Milliseconds are too coarse for the latencies of requests.
type micros int64

func (m micros) millis() float64 { return float64(m) / 1000 }

func fromMillis(m clock.Millis) micros { return micros(m) * 1000 }

// timing is the clock of the tool. Tests replace it.
type timing struct {
	now   func() micros
	sleep func(ctx context.Context, until micros) error
}

func systemTiming() timing {
	start := time.Now()
	now := func() micros { return micros(time.Since(start).Microseconds()) }
	return timing{now: now, sleep: func(ctx context.Context, until micros) error {
		t := time.NewTimer(time.Duration(until-now()) * time.Microsecond)
		defer t.Stop()
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}}
}

// sample is the result of one request.
type sample struct {
	due       micros
	sent      micros
	firstByte micros
	ended     micros
	key       int
	route     int
	member    int // index in names, or -1
	attempts  int
	limit     int // the limit that the response reported, or 0
	outcome   wire.Outcome
	reason    string
	replayed  bool
	redials   int
	problem   problem
	requestID string
	operation string // idempotency key
}

// plan holds the due time and the random choices for one request.
type plan struct {
	due    micros
	key    int
	route  int
	caller int
}

// generator sends the requests of one run.
type generator struct {
	options Options
	routes  weighted
	keys    weighted
	next    atomic.Int64
	count   int64
	start   micros
	client  *http.Client
	names   interner
}

// generate sends all requests and returns their samples and the member names, which
// sample.member indexes.
func generate(ctx context.Context, o Options) ([]sample, []string) {
	g := &generator{
		options: o,
		routes:  newWeighted(len(o.Routes), func(i int) float64 { return o.Routes[i].Weight }),
		keys:    zipf(o.Keys, o.Skew),
		count:   int64(o.Rate * float64(o.Duration) / 1000),
		start:   o.time.now(),
		client:  newClient(o.Workers),
	}
	defer g.client.CloseIdleConnections()
	results := make(chan []sample, o.Workers)
	for range o.Workers {
		go func() { results <- g.runWorker(ctx) }()
	}
	var all []sample
	for range o.Workers {
		all = append(all, <-results...)
	}
	return all, g.names.all
}

// runWorker sends requests one after another, none before its due time, and
// returns their samples.
func (g *generator) runWorker(ctx context.Context) []sample {
	var samples []sample
	for {
		n := g.next.Add(1) - 1
		if n >= g.count {
			return samples
		}
		p := g.plan(n)
		if g.options.time.now() < g.start+p.due && g.options.time.sleep(ctx, g.start+p.due) != nil {
			return samples
		}
		if ctx.Err() != nil {
			return samples
		}
		samples = append(samples, g.send(ctx, n, p))
	}
}

// plan returns the plan of request number n. It depends only on n and the seed,
// not on the worker that sends the request.
func (g *generator) plan(n int64) plan {
	random := rand.New(rand.NewPCG(g.options.Seed, uint64(n)))
	return plan{
		due:    micros(float64(n) * 1e6 / g.options.Rate),
		key:    g.keys.at(random.Float64()),
		route:  g.routes.at(random.Float64()),
		caller: random.IntN(g.options.Callers),
	}
}

// interner assigns consecutive numbers to member names.
type interner struct {
	mu      sync.Mutex
	numbers map[string]int
	all     []string
}

// number returns the number of name, or -1 if name is empty.
func (i *interner) number(name string) int {
	if name == "" {
		return -1
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if n, ok := i.numbers[name]; ok {
		return n
	}
	if i.numbers == nil {
		i.numbers = make(map[string]int)
	}
	i.numbers[name] = len(i.all)
	i.all = append(i.all, name)
	return i.numbers[name]
}
