// Package quorum runs the replicated log of a core replica: its transport, the
// founding of the group by the seeds, admission, and recovery from disk faults.
//
// # Founding
//
// At the first start of the system each replica is told the same seed addresses
// and nothing else. The first seed asks all seeds who they are, and founds the
// group once each of them is empty and in its first start. Everybody else asks for
// admission and becomes a learner, then a voter. A replica whose disk was emptied
// is not in its first start, so it can neither found a group nor vote before it is
// admitted under its new identity.
//
// # Disk faults
//
// A replica whose write fails has ended: it must not acknowledge what may be lost.
// Quorum closes it, waits, and opens the folder again in the same process. A disk
// that stays full keeps it out of the group without ending the process.
//
// # Usage
//
//	q := quorum.New(quorum.Options{...})
//	q.Register(server)
//	err := q.Run(ctx)
package quorum

import (
	"context"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
	"github.com/gentiansail/gentiansail/pkg/ring"
)

// Timing of the log.
const (
	heartbeatEvery clock.Millis = 100
	// electionTimeout leaves room for the disks with 5 ms a sync and for hosts with
	// half a core; a lost leader is replaced after 0.5 to 1 s, well within a lease.
	electionTimeout clock.Millis = 500
	// snapshotEvery entries. An entry is up to about 100 KB.
	snapshotEvery = 500
	// reopenDelay is the pause after a disk fault.
	reopenDelay clock.Millis = 500
	// seekEvery is how often an outsider asks to be admitted, or a seed looks for
	// the others.
	seekEvery clock.Millis = 300
	// seekTimeout bounds one such call.
	seekTimeout clock.Millis = 1500
	// sendTimeout bounds one message.
	sendTimeout clock.Millis = 1000
	// peerRing bounds the messages that wait for one peer.
	peerRing = 256
)

const group replog.GroupID = "mesh"

// ErrNoReplica means that the log is not open, after a disk fault.
var ErrNotOpen = merry.Sentinel("replica is not open")

// StateMachine is what the log drives.
type StateMachine struct {
	Apply   func(replog.Entry) any
	Capture func() (func() ([]byte, error), error)
	Restore func([]byte) error
	// Reset empties the machine before the log is opened.
	Reset func()
}

// Options configure a Quorum.
type Options struct {
	Name       string
	Address    message.Address
	DataFolder string
	// Seeds are addresses of other replicas, this one's own perhaps among them.
	Seeds      []message.Address
	FirstStart bool
	// Voters is how many voters the group needs to bear the stated loss.
	VoterCount int
	Machine    StateMachine
	Clock      clock.Clock
	Log        zerolog.Logger
	// OnRole is told about each change of role.
	OnRole func(replog.Role, replog.Term)
}

// Quorum is one replica, across the times that its log is opened.
type Quorum struct {
	o       Options
	replica atomic.Pointer[replog.Replica]

	mu    sync.Mutex
	peers map[string]*peer
	ctx   context.Context
	all   sync.WaitGroup
}

type peer struct {
	client   *rpc.Client
	messages *ring.Ring[replog.Message]
}

// New returns a Quorum that is not running yet.
func New(o Options) *Quorum {
	return &Quorum{o: o, peers: map[string]*peer{}}
}

// Run keeps the log open until ctx ends.
func (q *Quorum) Run(ctx context.Context) error {
	sending, cancel := context.WithCancel(context.WithoutCancel(ctx))
	q.mu.Lock()
	q.ctx = sending
	q.mu.Unlock()
	defer q.all.Wait()
	defer cancel()
	for {
		err := q.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		q.o.Log.Error().Err(err).Str("Event", "log-closed").Int64("RetryMillis", int64(reopenDelay)).Msg("the log ended and is opened again")
		if q.o.Clock.Sleep(ctx, reopenDelay) != nil {
			return nil
		}
	}
}

// firstStartMark lies in the data folder of a replica that was started with the
// whole system, until it belongs to a group, so that a kill in between does not
// keep the group from being founded.
const firstStartMark = "first-start"

func (q *Quorum) runOnce(ctx context.Context) error {
	if err := q.markFirstStart(); err != nil {
		return err
	}
	q.o.Machine.Reset()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := replog.Open(ctx, replog.Options{
		Folder: filepath.Join(q.o.DataFolder, "log"), Group: group,
		Name: replog.ReplicaID(q.o.Name), Address: string(q.o.Address), Clock: q.o.Clock,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout, SnapshotEvery: snapshotEvery,
		Send: q.send, Apply: q.o.Machine.Apply, Snapshot: q.o.Machine.Capture, Restore: q.o.Machine.Restore,
		OnRole: q.o.OnRole,
	})
	if err != nil {
		return err
	}
	q.replica.Store(r)
	defer q.replica.Store(nil)
	sought := make(chan struct{})
	go func() {
		defer close(sought)
		q.seek(running, r)
	}()
	err = <-r.Done()
	cancel()
	<-sought
	return err
}

func (q *Quorum) markFirstStart() error {
	if !q.o.FirstStart {
		return nil
	}
	if err := os.MkdirAll(q.o.DataFolder, 0o750); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(q.o.DataFolder, "log")); err == nil {
		return nil
	}
	return os.WriteFile(filepath.Join(q.o.DataFolder, firstStartMark), nil, 0o640)
}

func (q *Quorum) mayFound() bool {
	_, err := os.Stat(filepath.Join(q.o.DataFolder, firstStartMark))
	return err == nil
}

// seek founds the group or asks for admission until this identity is a voter.
func (q *Quorum) seek(ctx context.Context, r *replog.Replica) {
	for ctx.Err() == nil {
		s := r.Status()
		if isVoter(s) {
			_ = os.Remove(filepath.Join(q.o.DataFolder, firstStartMark))
			return
		}
		if len(s.Voters) == 0 && q.mayFound() && len(q.o.Seeds) > 0 && q.o.Seeds[0] == q.o.Address {
			q.found(ctx, r)
		} else {
			q.askAdmission(ctx, s)
		}
		if q.o.Clock.Sleep(ctx, seekEvery) != nil {
			return
		}
	}
}

func isVoter(s replog.Status) bool {
	for _, m := range s.Voters {
		if m.Identity == s.Self.Identity {
			return true
		}
	}
	return false
}

// found asks the seeds who they are and founds the group with them, if none of
// them belongs to one and all are in their first start.
func (q *Quorum) found(ctx context.Context, r *replog.Replica) {
	ctx, cancel := context.WithTimeout(ctx, seekTimeout.Duration())
	defer cancel()
	var members []message.ReplicaMember
	for _, a := range q.o.Seeds {
		reply, err := rpc.Call[message.IdentityReply](ctx, q.client(string(a)), message.MethodIdentity, message.IdentityRequest{Host: message.HostName(q.o.Name)})
		if err != nil || !reply.Empty || !reply.FirstStart {
			q.o.Log.Info().Err(err).Str("Event", "founding-waits").Str("Seed", string(a)).Bool("Empty", reply.Empty).Bool("FirstStart", reply.FirstStart).Msg("a seed is not ready")
			return
		}
		members = append(members, reply.Member)
	}
	// The own replica comes last: once it belongs to the group it does not found again.
	for _, a := range append(q.o.Seeds[1:len(q.o.Seeds):len(q.o.Seeds)], q.o.Address) {
		if _, err := rpc.Call[struct{}](ctx, q.client(string(a)), message.MethodBootstrap, message.BootstrapRequest{Members: members}); err != nil {
			q.o.Log.Warn().Err(err).Str("Event", "founding-failed").Str("Seed", string(a)).Msg("a seed did not join")
			return
		}
	}
	q.o.Log.Info().Str("Event", "founded").Int("Members", len(members)).Str("Identity", string(r.Status().Self.Identity)).Msg("group founded")
}

func (q *Quorum) askAdmission(ctx context.Context, s replog.Status) {
	self := message.ReplicaMember{Name: message.HostName(s.Self.Name), Identity: message.Identity(s.Self.Identity), Address: q.o.Address}
	asked := map[message.Address]bool{q.o.Address: true}
	addresses := append([]message.Address{message.Address(s.Leader.Address)}, q.o.Seeds...)
	for _, m := range s.Voters {
		addresses = append(addresses, message.Address(m.Address))
	}
	for len(addresses) > 0 {
		a := addresses[0]
		addresses = addresses[1:]
		if a == "" || asked[a] {
			continue
		}
		asked[a] = true
		ctx, cancel := context.WithTimeout(ctx, seekTimeout.Duration())
		_, err := rpc.Call[struct{}](ctx, q.client(string(a)), message.MethodAdmit, message.AdmitRequest{Member: self})
		cancel()
		if err == nil {
			return
		}
		// The leader need not be a seed, and an outsider knows no other replicas.
		var e *rpc.Error
		if errors.As(err, &e) && e.Leader != "" {
			addresses = append([]message.Address{message.Address(e.Leader)}, addresses...)
		}
		q.o.Log.Debug().Err(err).Str("Event", "admission-waits").Str("Asked", string(a)).Msg("not admitted yet")
	}
}

// Register serves the calls of other replicas.
func (q *Quorum) Register(s *rpc.Server) {
	rpc.Handle(s, message.MethodLog, q.deliver)
	rpc.Handle(s, message.MethodIdentity, q.identity)
	rpc.Handle(s, message.MethodBootstrap, q.join)
	rpc.Handle(s, message.MethodAdmit, q.admit)
}

func (q *Quorum) deliver(_ context.Context, m message.LogMessage) (struct{}, error) {
	r := q.replica.Load()
	if r == nil {
		return struct{}{}, unavailable(ErrNotOpen)
	}
	data, err := base64.StdEncoding.DecodeString(m.Data)
	if err != nil {
		return struct{}{}, refused(err)
	}
	decoded, err := replog.DecodeMessage(data)
	if err != nil {
		return struct{}{}, refused(err)
	}
	r.Deliver(decoded)
	return struct{}{}, nil
}

func (q *Quorum) identity(context.Context, message.IdentityRequest) (message.IdentityReply, error) {
	r := q.replica.Load()
	if r == nil {
		return message.IdentityReply{}, unavailable(ErrNotOpen)
	}
	s := r.Status()
	return message.IdentityReply{
		Member: message.ReplicaMember{Name: message.HostName(s.Self.Name), Identity: message.Identity(s.Self.Identity), Address: q.o.Address},
		Empty:  len(s.Voters) == 0, FirstStart: q.mayFound(),
	}, nil
}

func (q *Quorum) join(_ context.Context, f message.BootstrapRequest) (struct{}, error) {
	r := q.replica.Load()
	if r == nil {
		return struct{}{}, unavailable(ErrNotOpen)
	}
	if !q.mayFound() {
		return struct{}{}, refused(errors.New("this replica is not in its first start"))
	}
	var members []replog.Member
	for _, m := range f.Members {
		members = append(members, member(m))
	}
	if err := r.Bootstrap(members); err != nil {
		return struct{}{}, refused(err)
	}
	return struct{}{}, nil
}

func member(m message.ReplicaMember) replog.Member {
	return replog.Member{Name: replog.ReplicaID(m.Name), Identity: replog.Identity(m.Identity), Address: string(m.Address)}
}

// admit makes a replica a voter. A full group first gives up a voter that has been
// silent for long, so that a host that is gone for good can be replaced.
func (q *Quorum) admit(ctx context.Context, a message.AdmitRequest) (struct{}, error) {
	r := q.replica.Load()
	if r == nil {
		return struct{}{}, unavailable(ErrNotOpen)
	}
	s := r.Status()
	if s.Role != replog.Leader {
		return struct{}{}, q.notLeader()
	}
	ctx, cancel := context.WithTimeout(ctx, seekTimeout.Duration())
	defer cancel()
	if err := q.makeRoom(ctx, r, s, replog.ReplicaID(a.Member.Name)); err != nil {
		return struct{}{}, unavailable(err)
	}
	if err := r.Admit(ctx, member(a.Member)); err != nil {
		return struct{}{}, unavailable(err)
	}
	q.o.Log.Info().Str("Event", "admitted").Str("Replica", string(a.Member.Name)).Str("Identity", string(a.Member.Identity)).Msg("replica is a voter")
	return struct{}{}, nil
}

// goneAfter is the silence after which a voter can be replaced by a newcomer of
// another name. A host that is back sooner would find itself outside.
const goneAfter clock.Millis = 6000

var errFull = merry.Sentinel("the group has all the voters it needs")

func (q *Quorum) makeRoom(ctx context.Context, r *replog.Replica, s replog.Status, name replog.ReplicaID) error {
	if len(s.Voters) < q.o.VoterCount {
		return nil
	}
	var gone *replog.MemberStatus
	for i, m := range s.Voters {
		if m.Name == name {
			return nil
		}
		if m.LastHeard > goneAfter && (gone == nil || m.LastHeard > gone.LastHeard) {
			gone = &s.Voters[i]
		}
	}
	if gone == nil {
		return merry.Wrap(errFull)
	}
	q.o.Log.Info().Str("Event", "voter-removed").Str("Replica", string(gone.Name)).Int64("SilentMillis", int64(gone.LastHeard)).Msg("a silent voter makes room")
	return r.Remove(ctx, gone.Member)
}

func unavailable(err error) error {
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
}

func refused(err error) error { return &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()} }

// notLeader names the leader to a caller.
func (q *Quorum) notLeader() error {
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: q.Leader()}
}

// Leader returns the address of the leader, empty if none is known.
func (q *Quorum) Leader() string {
	r := q.replica.Load()
	if r == nil {
		return ""
	}
	return r.Status().Leader.Address
}

// Status returns the state of the log; ok is false while it is not open.
func (q *Quorum) Status() (s replog.Status, ok bool) {
	r := q.replica.Load()
	if r == nil {
		return replog.Status{}, false
	}
	return r.Status(), true
}

// Votes reports whether this identity is a voter as far as it knows.
func (q *Quorum) IsVoter() bool {
	s, ok := q.Status()
	return ok && isVoter(s)
}

// Propose commits a command and returns the result of Apply.
func (q *Quorum) Propose(ctx context.Context, data []byte) (any, error) {
	r := q.replica.Load()
	if r == nil {
		return nil, unavailable(ErrNotOpen)
	}
	out, err := r.Propose(ctx, data)
	return out, q.translate(err)
}

// Confirm proves that this replica leads by a round that begins after the call,
// and waits until all that was acknowledged before is applied here.
func (q *Quorum) Confirm(ctx context.Context) error {
	r := q.replica.Load()
	if r == nil {
		return unavailable(ErrNotOpen)
	}
	_, _, err := r.Confirm(ctx)
	return q.translate(err)
}

func (q *Quorum) translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replog.ErrNotLeader):
		return q.notLeader()
	case errors.Is(err, replog.ErrTooLarge):
		return refused(err)
	}
	return &rpc.Error{Code: rpc.CodeUnknown, Message: err.Error()}
}

// client returns the client of an address, and starts the sending of messages to it.
func (q *Quorum) client(address string) *rpc.Client { return q.peer(address).client }

func (q *Quorum) peer(address string) *peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[address]
	if p == nil {
		p = &peer{client: rpc.NewClient(address), messages: ring.New[replog.Message](peerRing)}
		q.peers[address] = p
		ctx := q.ctx
		q.all.Go(func() { p.run(ctx) })
	}
	return p
}

func (q *Quorum) send(m replog.Message) { q.peer(m.To.Address).messages.Offer(m) }

func (p *peer) run(ctx context.Context) {
	defer p.client.Close()
	for {
		m, err := p.messages.Take(ctx)
		if err != nil {
			return
		}
		if p.notify(ctx, m) != nil {
			p.discard()
		}
	}
}

// discard drops what waits for a peer that cannot be reached: messages that arrive
// after it returns should be recent ones.
func (p *peer) discard() {
	for {
		select {
		case <-p.messages.Items():
		default:
			return
		}
	}
}

func (p *peer) notify(ctx context.Context, m replog.Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	data := base64.StdEncoding.EncodeToString(m.Encode())
	return p.client.Notify(ctx, message.MethodLog, message.LogMessage{Data: data})
}

// PeerAddress returns where the process at an address listens for the others,
// which is the same port on all hosts.
func PeerAddress(address string, port int) message.Address {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return message.Address(a.Addr().String() + ":" + strconv.Itoa(port))
}
