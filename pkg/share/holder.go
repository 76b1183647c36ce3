package share

import (
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

const (
	// askInterval is the shortest time between two requests for grants.
	askInterval clock.Millis = 400
	// stateInterval is the time after which a holder states its part again, for a new ledger.
	stateInterval clock.Millis = 4000
	// maxAsk bounds the amount of one ask.
	maxAsk = 64
	// maxReturns bounds the returns that wait for the next request. Others are not reused
	// before Terms.Reuse.
	maxReturns = 64
	// emptyBudget is the initial content of a budget, since 0 stands for a full one.
	emptyBudget = 1e-6
)

// Event is what happened to an amount of a pool.
type Event string

// Events. Refused amounts were asked for and not granted.
const (
	Granted Event = "granted"
	Refused Event = "refused"
	Spent   Event = "spent"
	Expired Event = "expired"
)

// HolderOptions are the settings of a Holder.
type HolderOptions struct {
	Clock clock.Clock
	Terms Terms
	// Process distinguishes the processes of this holder.
	Process int64
	// Limit is the limit that the holders divide.
	Limit int
	// Holders returns the number of holders, by which the fallback part is computed.
	Holders func() int
	// Ratio is the amount that each request adds to a budget. It is not part of the limit.
	Ratio float64
	// Record, if set, is called for what happens to grants. It must not call the holder.
	Record func(p Pool, e Event, amount int)
}

// Holder is one holder of parts and grants. It is safe for concurrent use.
type Holder struct {
	options HolderOptions

	mu sync.Mutex
	// part is the part that a ledger has stated; 0 if none has.
	part int
	// holders is the largest number of holders so far.
	holders int
	budgets map[Pool]*Budget
	number  int
	// askedAt and statedAt are the times of the last request with asks and of the last one.
	askedAt, statedAt clock.Millis
	asked, wasStated  bool
	returns           []Return
}

// Budget is what a holder may use of one pool. It is safe for concurrent use and never blocks.
type Budget struct {
	holder *Holder
	pool   Pool
	base   *retry.Budget

	mu     sync.Mutex
	grants []heldGrant
	// wanted is the amount that was asked for by Withdraw since the last request for grants.
	wanted int
	// low means that the budget has run out, or is about to.
	low bool
	// usedGrants is set once grants were used.
	usedGrants bool
}

type heldGrant struct {
	number, amount, remaining int
	until                     clock.Millis
}

// NewHolder returns a holder with the fallback part and no grants.
func NewHolder(o HolderOptions) *Holder {
	if o.Record == nil {
		o.Record = func(Pool, Event, int) {}
	}
	return &Holder{options: o, budgets: map[Pool]*Budget{}}
}

// Budget returns the budget of a pool, which is empty at first.
func (h *Holder) Budget(p Pool) *Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[p]
	if b == nil {
		b = &Budget{holder: h, pool: p, base: retry.NewBudget(retry.Options{Ratio: h.options.Ratio, Capacity: h.currentPart(), Initial: emptyBudget})}
		h.budgets[p] = b
	}
	return b
}

// currentPart returns the part of this holder. The caller must hold h.mu.
func (h *Holder) currentPart() int {
	h.holders = max(h.holders, h.options.Holders(), 1)
	full := fallback(h.options.Limit, h.holders)
	if h.part > 0 {
		return min(h.part, full)
	}
	return full
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() { b.base.Deposit() }

// Withdraw removes n from the budget. It returns false if there is not enough.
func (b *Budget) Withdraw(n int) bool {
	if b.base.WithdrawN(n) {
		if b.base.Available() == 0 {
			b.mu.Lock()
			b.wanted, b.low = b.wanted+n, true
			b.mu.Unlock()
		}
		return true
	}
	now := b.holder.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wanted, b.low = b.wanted+n, true
	if b.usable(now) < n {
		return false
	}
	b.holder.options.Record(b.pool, Spent, n)
	b.usedGrants = true
	for i := range b.grants {
		g := &b.grants[i]
		if now < g.until {
			taken := min(n, g.remaining)
			g.remaining -= taken
			n -= taken
		}
	}
	return true
}

// Return adds n that were withdrawn and not used. Once grants were used, they go back to a
// grant that has not ended, or are lost: those of a grant that has ended would otherwise be
// used in a window in which the ledger no longer counts it.
func (b *Budget) Return(n int) {
	now := b.holder.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.grants {
		g := &b.grants[i]
		if now < g.until && g.amount-g.remaining >= n {
			g.remaining += n
			return
		}
	}
	if !b.usedGrants {
		b.base.Return(n)
	}
}

// usable returns what can be used of the grants. The caller must hold b.mu.
func (b *Budget) usable(now clock.Millis) int {
	sum := 0
	for _, g := range b.grants {
		if now < g.until {
			sum += g.remaining
		}
	}
	return sum
}

// endGrants removes the grants that have ended and returns what is left of them. The caller
// must hold b.mu.
func (b *Budget) endGrants(now clock.Millis) []Return {
	var out []Return
	kept := b.grants[:0]
	for _, g := range b.grants {
		if now < g.until {
			kept = append(kept, g)
			continue
		}
		if g.remaining > 0 {
			out = append(out, Return{Pool: b.pool, Number: g.number, Amount: g.remaining})
			b.holder.options.Record(b.pool, Expired, g.remaining)
		}
	}
	b.grants = kept
	return out
}

// NextRequest returns the request to send now, or nil if there is nothing to ask for, to
// return or to state. It is called whenever a message to the ledger is sent.
func (h *Holder) NextRequest() *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	r := Request{Process: h.options.Process, Part: h.part}
	mayAsk := !h.asked || now-h.askedAt >= askInterval
	for _, b := range h.budgets {
		b.base.SetCapacity(h.currentPart())
		b.mu.Lock()
		h.returns = append(h.returns, b.endGrants(now)...)
		if amount := min(2*b.wanted-b.usable(now), maxAsk); mayAsk && b.low && amount > 0 && len(r.Asks) < maxAsks {
			r.Asks = append(r.Asks, Ask{Pool: b.pool, Amount: amount})
			b.wanted, b.low = 0, false
		}
		b.mu.Unlock()
	}
	h.returns = h.returns[max(0, len(h.returns)-maxReturns):]
	r.Returns = append(r.Returns, h.returns[:min(len(h.returns), maxAsks)]...)
	if len(r.Asks)+len(r.Returns) == 0 && h.wasStated && now-h.statedAt < stateInterval {
		return nil
	}
	h.returns = h.returns[len(r.Returns):]
	h.number++
	r.Number = h.number
	h.statedAt, h.wasStated = now, true
	if len(r.Asks) > 0 {
		h.askedAt, h.asked = now, true
	}
	return &r
}

// Apply applies the reply to a request that was sent at the given time. reply is nil if the
// answer came from a release without grants. Each request is applied or has failed once.
func (h *Holder) Apply(r *Request, reply *Reply, sent clock.Millis) {
	if reply == nil || len(reply.Grants) != len(r.Asks) || reply.Part <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.part == 0 || reply.Part < h.part {
		// The new part is stated in the next request, so that the ledger can grant the rest.
		h.part, h.wasStated = min(reply.Part, h.currentPart()), false
	}
	for _, b := range h.budgets {
		b.base.SetCapacity(h.currentPart())
	}
	for i, ask := range r.Asks {
		amount := min(max(reply.Grants[i], 0), ask.Amount)
		b := h.budgets[ask.Pool]
		if amount < ask.Amount {
			h.options.Record(ask.Pool, Refused, ask.Amount-amount)
		}
		if amount > 0 {
			h.options.Record(ask.Pool, Granted, amount)
			b.mu.Lock()
			b.grants = append(b.grants, heldGrant{number: r.Number, amount: amount, remaining: amount, until: sent + h.options.Terms.Duration})
			b.mu.Unlock()
		}
	}
}

// Fail records that a message to the ledger has no answer and that a later one would be
// ignored. What may have been granted in answer to its request, if it had one, is returned. The
// next message states the part, since there may be a new ledger.
func (h *Holder) Fail(r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wasStated = false
	if r == nil {
		return
	}
	for _, ask := range r.Asks {
		h.returns = append(h.returns, Return{Pool: ask.Pool, Number: r.Number, Amount: ask.Amount})
	}
}

// Held returns the amount of all grants that can be used.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, sum := h.options.Clock.Now(), 0
	for _, b := range h.budgets {
		b.mu.Lock()
		sum += b.usable(now)
		b.mu.Unlock()
	}
	return sum
}
