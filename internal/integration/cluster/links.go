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

// ErrLink means that a fault could not be added to or removed from a link, or that
// the link does not exist.
var ErrLink = merry.Sentinel("cannot change link")

// Endpoint identifies one end of a link: a replica ("control-1"), a node ("catalogue-1"),
// a target ("catalogue-1-target"), Callers or Peers.
type Endpoint string

const (
	// Callers stands for all callers, which reach a node at Host.Caller.
	Callers Endpoint = "callers"
	// Peers stands for all other nodes. A node advertises the same address to all
	// of them, so faults affect all their links to it together.
	Peers Endpoint = "peers"
	// Operators stands for operators, which reach a replica at Replica.Operators.
	Operators Endpoint = "operators"
)

// Stream is a direction of a connection.
type Stream string

// Directions, as seen from the endpoint that opened the connection.
const (
	Requests  Stream = "upstream"
	Responses Stream = "downstream"
)

// Link is the proxy for the connections that one endpoint opens to another.
type Link struct {
	proxy *toxiproxy.Proxy
	next  atomic.Int64
}

type ends struct{ from, to Endpoint }

// links contains the proxies of a cluster.
type links struct {
	server *toxiproxy.ApiServer
	ports  []wire.Address
	byEnds map[ends]*Link
}

func newLinks(ports []wire.Address) *links {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &links{server: server, ports: ports, byEnds: make(map[ends]*Link)}
}

// linkPorts returns the number of ports for proxies. They are reserved together with
// the ports of the processes: if the kernel chose a proxy's port, it could choose one
// that is reserved for a process which does not listen yet.
func (o Options) linkPorts(targets int) int {
	if !o.Links {
		return 0
	}
	const perHost = 4 // callers, peers, target to node, node to target
	return o.Replicas*o.Replicas + targets*(perHost+o.Replicas)
}

// dialAddress returns the address that from dials to reach to, which listens at a.
// With the option Links it starts a proxy and returns its address, otherwise a.
func (c *Cluster) dialAddress(from, to Endpoint, a wire.Address) (wire.Address, error) {
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

// Link returns the link for connections that from opens to to, or nil.
func (c *Cluster) Link(from, to Endpoint) *Link { return c.links.byEnds[ends{from, to}] }

// CutOneWay drops all bytes that from sends to to, on open and on new connections.
// New connections can still be opened. Connections are not reset, and closing one is
// not passed on to the other endpoint either.
func (c *Cluster) CutOneWay(from, to Endpoint) error {
	if err := c.addTo(ends{from, to}, Requests, blackholeKind, &blackhole{}); err != nil {
		return err
	}
	return c.addTo(ends{to, from}, Responses, blackholeKind, &blackhole{})
}

// Cut drops all bytes between two endpoints, like CutOneWay in both directions.
func (c *Cluster) Cut(a, b Endpoint) error {
	if err := c.CutOneWay(a, b); err != nil {
		return err
	}
	return c.CutOneWay(b, a)
}

// addTo adds a toxic to the link from e.from to e.to. It does nothing if connections
// are opened only in the opposite direction, and fails if there are none in either.
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

// Heal removes all faults between two endpoints. Connections that Cut, CutOneWay or
// BlackholeOpen affected are closed, because the dropped bytes are lost.
func (c *Cluster) Heal(ctx context.Context, a, b Endpoint) {
	for _, e := range []ends{{a, b}, {b, a}} {
		if l := c.links.byEnds[e]; l != nil {
			l.Heal(ctx)
		}
	}
}

// Add adds a toxic of toxiproxy to one direction. kind is its registered name, as in
// Add(Responses, "latency", &toxics.LatencyToxic{Latency: 100}).
func (l *Link) Add(s Stream, kind string, toxic toxics.Toxic) error {
	added, err := l.add(s, kind, toxic)
	if err != nil {
		return err
	}
	if t, ok := added.Toxic.(*blackhole); ok {
		t.installed.Store(true)
	}
	return nil
}

// add adds a toxic and returns the wrapper of the copy that is in effect.
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
// directions. New connections work.
func (l *Link) BlackholeOpen() error {
	if err := l.Add(Requests, blackholeKind, &blackhole{OpenOnly: true}); err != nil {
		return err
	}
	return l.Add(Responses, blackholeKind, &blackhole{OpenOnly: true})
}

// Heal removes all faults from the link.
func (l *Link) Heal(ctx context.Context) { l.proxy.Toxics.ResetToxics(ctx) }

const blackholeKind = "silence"

func init() { toxics.Register(blackholeKind, new(blackhole)) }

// blackhole drops all bytes, like toxiproxy's timeout toxic with timeout 0. Unlike that
// toxic, it does not forward the close of a connection, because a partitioned network
// would drop it too, and it can be limited to connections that are open when it is added.
type blackhole struct {
	OpenOnly bool

	installed atomic.Bool
}

// NewState implements toxics.StatefulToxic. It is called once for each connection,
// for open ones before installed is set.
func (t *blackhole) NewState() any {
	return blackholeState{drops: !t.OpenOnly || !t.installed.Load()}
}

type blackholeState struct{ drops bool }

// Pipe implements toxics.Toxic.
func (t *blackhole) Pipe(stub *toxics.ToxicStub) {
	if !stub.State.(blackholeState).drops {
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
func (t *blackhole) Cleanup(stub *toxics.ToxicStub) {
	if stub.State.(blackholeState).drops {
		stub.Close()
	}
}
