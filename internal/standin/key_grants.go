package standin

import (
	"fmt"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// KeyGrants is what a target knows of the keys that it owns, if it takes them by calls. Its
// clock may run slow. It does not know which keys other targets own.
type KeyGrants struct {
	// ClockPercent is the speed of the target's clock; 0 stands for 100.
	ClockPercent clock.Millis

	mu     sync.Mutex
	keys   []keyState
	issued int
	name   string
}

type keyState struct {
	seen, token int // highest fencing token seen, and that of the grant; 0 if there is none
	expiry      clock.Millis
}

// NewKeyGrants returns the grants of a target that owns none of its keys. The name is part
// of the handover tokens that it issues.
func NewKeyGrants(name string, keys int) *KeyGrants {
	return &KeyGrants{keys: make([]keyState, keys), name: name}
}

// Grant grants the keys of a range, both ends included. The lease counts from the arrival
// of the call. It returns false, and changes nothing, if a higher fencing token was seen for
// one of the keys.
func (g *KeyGrants) Grant(from, to, token int, lease, arrival clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.keys[from : to+1] {
		if k.seen > token {
			return false
		}
	}
	if g.ClockPercent > 0 {
		lease = lease * 100 / g.ClockPercent
	}
	for i := from; i <= to; i++ {
		g.keys[i] = keyState{seen: token, token: token, expiry: arrival + lease}
	}
	return true
}

// Release ends grants of the keys of a range, except those with a higher fencing token. It
// returns the handover token.
func (g *KeyGrants) Release(from, to, token int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from; i <= to; i++ {
		if g.keys[i].token <= token {
			g.keys[i].token = 0
		}
	}
	g.issued++
	return fmt.Sprintf("%s-%d", g.name, g.issued)
}

// Token returns the fencing token with which a key is owned at a time; 0 if it is not.
func (g *KeyGrants) Token(key int, now clock.Millis) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k := g.keys[key]; now < k.expiry {
		return k.token
	}
	return 0
}
