package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// ErrLink means that a fault could not be put on a link, or that there is no
// such link.
var ErrLink = merry.Sentinel("cannot change link")

// End names one end of a link: a replica ("control-1"), a node ("catalogue-1"),
// a target ("catalogue-1-target"), Callers or Peers.
type End string

const (
	// Callers are all callers: their link to a node is Host.Caller.
	Callers End = "callers"
	// Peers are all other nodes. A node advertises one address to all of them,
	// so their links to it can be changed together only.
	Peers End = "peers"
	// Operators are operators who use Replica.Operators.
	Operators End = "operators"
)

// Stream is a direction of a connection.
type Stream string

// Directions, as seen from the end that dialled.
const (
	Requests  Stream = "upstream"
	Responses Stream = "downstream"
)

// Link is the proxy on the connections that one end dials to another.
type Link struct {
	proxy *toxiproxy.Proxy
	next  atomic.Int64
}

type ends struct{ from, to End }

// links are the proxies of a cluster.
type links struct {
	server *toxiproxy.ApiServer
	ports  []wire.Address
	byEnds map[ends]*Link
}

func newLinks(ports []wire.Address) *links {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &links{server: server, ports: ports, byEnds: make(map[ends]*Link)}
}

// linkPorts is the number of proxies. Their ports are reserved together with
// those of the processes: a proxy on a port of the kernel's choice could get one
// that a process is about to listen on.
func (o Options) linkPorts(targets int) int {
	if !o.Links {
		return 0
	}
	const perHost = 4 // callers, peers, and both ways between node and target
	return o.Replicas*o.Replicas + targets*(perHost+o.Replicas)
}

// through returns the address under which from reaches to, which listens at a.
// It is a itself without the option Links.
func (c *Cluster) through(from, to End, a wire.Address) (wire.Address, error) {
	if c.links == nil {
		return a, nil
	}
	listen := c.links.ports[len(c.links.byEnds)]
	p := toxiproxy.NewProxy(c.links.server, string(from+" to "+to), string(listen), string(a))
	if err := p.Start(); err != nil {
		return "", merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	c.links.byEnds[ends{from, to}] = &Link{proxy: p}
	return wire.Address(p.Listen), nil
}

func (l *links) close() {
	if l == nil {
		return
	}
	for _, v := range l.byEnds {
		v.proxy.Stop()
	}
}

// Link returns the link that from dials to to, or nil.
func (c *Cluster) Link(from, to End) *Link { return c.links.byEnds[ends{from, to}] }

// CutOneWay makes all bytes that from sends to to vanish, on connections that
// are open and on new ones, which still open. Nothing is reset, and the end of a
// connection is not noticed either.
func (c *Cluster) CutOneWay(from, to End) error {
	if err := c.addTo(ends{from, to}, Requests, silenceKind, &silence{}); err != nil {
		return err
	}
	return c.addTo(ends{to, from}, Responses, silenceKind, &silence{})
}

// Cut makes all bytes between two ends vanish, as CutOneWay in both directions.
func (c *Cluster) Cut(a, b End) error {
	if err := c.CutOneWay(a, b); err != nil {
		return err
	}
	return c.CutOneWay(b, a)
}

// addTo adds a toxic to the link if one of the ends dials the other.
func (c *Cluster) addTo(e ends, s Stream, kind string, toxic toxics.Toxic) error {
	l := c.links.byEnds[e]
	if l == nil && c.links.byEnds[ends{e.to, e.from}] != nil {
		return nil
	}
	if l == nil {
		return merry.Wrap(ErrLink, merry.AppendMessagef("no link between %s and %s", e.from, e.to))
	}
	return l.Add(s, kind, toxic)
}

// Heal removes all faults between two ends. Connections that a cut or Silence
// has taken bytes from are closed, because these bytes are lost.
func (c *Cluster) Heal(ctx context.Context, a, b End) {
	for _, e := range []ends{{a, b}, {b, a}} {
		if l := c.links.byEnds[e]; l != nil {
			l.Heal(ctx)
		}
	}
}

// Add puts a toxic of toxiproxy on one direction, with its registered kind, as
// in Add(Responses, "latency", &toxics.LatencyToxic{Latency: 100}).
func (l *Link) Add(s Stream, kind string, toxic toxics.Toxic) error {
	added, err := l.add(s, kind, toxic)
	if err != nil {
		return err
	}
	if t, ok := added.Toxic.(*silence); ok {
		t.added.Store(true)
	}
	return nil
}

// add returns what is in effect, which holds a copy of the toxic.
func (l *Link) add(s Stream, kind string, toxic toxics.Toxic) (*toxics.ToxicWrapper, error) {
	data, err := json.Marshal(struct {
		Name       string       `json:"name"`
		Type       string       `json:"type"`
		Stream     Stream       `json:"stream"`
		Toxicity   float32      `json:"toxicity"`
		Attributes toxics.Toxic `json:"attributes"`
	}{fmt.Sprintf("%s %d", kind, l.next.Add(1)), kind, s, 1, toxic})
	if err != nil {
		return nil, merry.Wrap(ErrLink, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	added, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(data))
	if err != nil {
		return nil, merry.Wrap(ErrLink, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return added, nil
}

// BlackholeOpen makes all bytes vanish on the connections that are open now, in both
// directions, while new connections work.
func (l *Link) BlackholeOpen() error {
	if err := l.Add(Requests, silenceKind, &silence{OpenOnly: true}); err != nil {
		return err
	}
	return l.Add(Responses, silenceKind, &silence{OpenOnly: true})
}

// Heal removes all faults from the link.
func (l *Link) Heal(ctx context.Context) { l.proxy.Toxics.ResetToxics(ctx) }

const silenceKind = "silence"

func init() { toxics.Register(silenceKind, new(silence)) }

// silence drops all bytes, like toxiproxy's timeout toxic with 0. Unlike it, it
// also withholds the end of a connection, which a cut network does not carry
// either, and it can be limited to the connections that are open when it is
// added.
type silence struct {
	OpenOnly bool

	added atomic.Bool
}

// NewState implements toxics.StatefulToxic. It runs once for each connection.
func (t *silence) NewState() any {
	return silenceState{silent: !t.OpenOnly || !t.added.Load()}
}

type silenceState struct{ silent bool }

// Pipe implements toxics.Toxic.
func (t *silence) Pipe(stub *toxics.ToxicStub) {
	if !stub.State.(silenceState).silent {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	input := stub.Input
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-input:
			if c == nil {
				input = nil // the source has closed
			}
		}
	}
}

// Cleanup implements toxics.CleanupToxic.
func (t *silence) Cleanup(stub *toxics.ToxicStub) {
	if stub.State.(silenceState).silent {
		stub.Close()
	}
}
