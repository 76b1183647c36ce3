package share

import (
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxAsks bounds the asks and returns of one request.
	maxAsks = 16
	// forgetAfter is the time after which a process that states nothing is forgotten. Holders in touch state their part every few seconds, and one
	// that is cut off for longer gets no work.
	forgetAfter clock.Millis = 600_000
	// maxProcesses bounds the processes that are remembered for a holder.
	maxProcesses = 16
	// maxPools bounds the pools of a ledger. Holders name them.
	maxPools = 1024
)

// Ledger grants what holders do not keep as their parts. The same limit applies to each pool.
// A ledger is safe for concurrent use.
type Ledger struct {
	limit int
	terms Terms
	// grantsFrom is the time from which no window contains the use of a predecessor's grant.
	grantsFrom clock.Millis

	mu       sync.Mutex
	forgotAt clock.Millis
	// holders counts the most holders that were known at one time.
	holders int
	stated  map[HolderID]*statedParts
	members map[HolderID]bool
	// unstated are the members that have stated nothing, or nothing for long.
	unstated map[HolderID]bool
	pools    map[Pool][]grant
}

// statedParts are the parts that the processes of a holder have stated.
type statedParts struct {
	byProcess map[int64]*statedPart
	// forgotten is set if there were too many processes to remember.
	forgotten bool
}

type statedPart struct {
	part int // 0 for the fallback part
	// before is the part until its use has left every window.
	before      int
	beforeUntil clock.Millis
	heardAt     clock.Millis
}

// grant is an amount that was granted.
type grant struct {
	holder   HolderID
	process  int64
	number   int
	amount   int
	returned bool
	at       clock.Millis
}

// NewLedger returns the ledger of a leader that was elected at the given time.
func NewLedger(limit int, terms Terms, elected clock.Millis) *Ledger {
	return &Ledger{limit: limit, terms: terms, grantsFrom: elected + terms.Reuse(), stated: map[HolderID]*statedParts{}, unstated: map[HolderID]bool{}, pools: map[Pool][]grant{}}
}

// SetMembers tells the ledger which holders are known from elsewhere. They may have parts
// without having stated them to this ledger.
func (l *Ledger) SetMembers(members []HolderID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.unstated = map[HolderID]bool{}, map[HolderID]bool{}
	for _, m := range members {
		l.members[m] = true
		if l.stated[m] == nil {
			l.unstated[m] = true
		}
	}
	l.holders = max(l.holders, len(l.stated)+len(l.unstated))
}

// Answer records what a holder states, and grants what it asks for as far as possible.
func (l *Ledger) Answer(holder HolderID, r Request, now clock.Millis) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	l.state(holder, r, now)
	for _, back := range r.Returns[:min(len(r.Returns), maxAsks)] {
		l.takeBack(holder, r.Process, back)
	}
	reply := Reply{Part: part(l.limit, l.holders)}
	if len(r.Asks) == 0 {
		return reply
	}
	parts := len(l.unstated) * fallback(l.limit, l.holders)
	for _, h := range l.stated {
		parts += l.partOf(h, now)
	}
	for _, ask := range r.Asks[:min(len(r.Asks), maxAsks)] {
		reply.Grants = append(reply.Grants, l.grant(holder, r, ask, l.limit-parts, now))
	}
	return reply
}

// forget removes the processes that have stated nothing for long. A member without any counts
// with the fallback part again.
func (l *Ledger) forget(now clock.Millis) {
	if now-l.forgotAt < forgetAfter/10 {
		return
	}
	l.forgotAt = now
	for holder, h := range l.stated {
		for process, p := range h.byProcess {
			if now-p.heardAt > forgetAfter {
				delete(h.byProcess, process)
			}
		}
		if len(h.byProcess) == 0 {
			delete(l.stated, holder)
			if l.members[holder] {
				l.unstated[holder] = true
			}
		}
	}
}

// state records the part of a process.
func (l *Ledger) state(holder HolderID, r Request, now clock.Millis) {
	h := l.stated[holder]
	if h == nil {
		h = &statedParts{byProcess: map[int64]*statedPart{}}
		l.stated[holder] = h
		delete(l.unstated, holder)
		l.holders = max(l.holders, len(l.stated)+len(l.unstated))
	}
	p := h.byProcess[r.Process]
	if p == nil {
		if len(h.byProcess) >= maxProcesses {
			h.forgotten = true
			return
		}
		// What the process spent before its first statement to this ledger is not known.
		h.byProcess[r.Process] = &statedPart{part: r.Part, beforeUntil: now + l.terms.Reuse(), heardAt: now}
		return
	}
	p.heardAt = now
	// Parts never grow, so a larger one is from a late message.
	if r.Part > 0 && (p.part == 0 || r.Part < p.part) {
		p.before, p.beforeUntil = p.part, now+l.terms.Reuse()
		p.part = r.Part
	}
}

// partOf returns what a holder may have kept within the last window.
func (l *Ledger) partOf(h *statedParts, now clock.Millis) int {
	full := fallback(l.limit, l.holders)
	if h.forgotten {
		return full
	}
	largest := 0
	for _, p := range h.byProcess {
		current, before := p.part, p.before
		if current == 0 {
			current = full
		}
		if before == 0 {
			before = full
		}
		largest = max(largest, current)
		if now < p.beforeUntil {
			largest = max(largest, before)
		}
	}
	return largest
}

// grant returns the amount that is granted of what the parts leave, at most half of what
// remains, so that the first holder to ask leaves something for others.
func (l *Ledger) grant(holder HolderID, r Request, ask Ask, free int, now clock.Millis) int {
	if now < l.grantsFrom || ask.Amount <= 0 || (l.pools[ask.Pool] == nil && len(l.pools) >= maxPools && !l.dropUnused(now)) {
		return 0
	}
	granted := l.current(ask.Pool, now)
	for _, g := range granted {
		if g.holder == holder && g.process == r.Process && g.number == r.Number {
			if g.returned {
				return 0
			}
			return g.amount // a repeated request
		}
		free -= g.amount
	}
	if free <= 0 {
		return 0
	}
	amount := min(ask.Amount, (free+1)/2)
	l.pools[ask.Pool] = append(granted, grant{holder: holder, process: r.Process, number: r.Number, amount: amount, at: now})
	return amount
}

// current removes the grants whose use no window contains any more, and returns the others.
func (l *Ledger) current(pool Pool, now clock.Millis) []grant {
	granted := l.pools[pool]
	outdated := 0
	for outdated < len(granted) && now-granted[outdated].at >= l.terms.Reuse() {
		outdated++
	}
	granted = granted[outdated:]
	if len(granted) == 0 {
		delete(l.pools, pool)
		return nil
	}
	l.pools[pool] = granted
	return granted
}

// dropUnused removes the pools without grants and reports whether there is room for another.
func (l *Ledger) dropUnused(now clock.Millis) bool {
	for pool := range l.pools {
		l.current(pool, now)
	}
	return len(l.pools) < maxPools
}

// takeBack reduces a grant by what was returned of it, once.
func (l *Ledger) takeBack(holder HolderID, process int64, back Return) {
	for i := range l.pools[back.Pool] {
		g := &l.pools[back.Pool][i]
		if g.holder == holder && g.process == process && g.number == back.Number && !g.returned {
			g.amount -= min(max(back.Amount, 0), g.amount)
			g.returned = true
			return
		}
	}
}

// Granted returns how much of all pools counts as granted.
func (l *Ledger) Granted(now clock.Millis) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for pool := range l.pools {
		for _, g := range l.current(pool, now) {
			sum += g.amount
		}
	}
	return sum
}
