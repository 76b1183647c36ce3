// Package quorum runs the replicated log of a core replica. It provides the transport,
// the bootstrap of the group by the seeds, admission, and recovery from disk faults.
//
// # Bootstrap
//
// At the first start of the system, all replicas have the same list of seed addresses and
// no other knowledge of the group. The first seed asks all seeds for their identities, and
// bootstraps the group once each of them is empty and in its first start. All other
// replicas request admission; an admitted replica becomes a learner first and then a
// voter. A replica that has lost its data is not in its first start. So it can neither
// bootstrap a group nor vote before it is admitted under its new identity.
//
// # Disk faults
//
// After a failed write a replica stops, because it must not acknowledge entries that may
// be lost. Quorum closes it, waits, and opens the folder again in the same process. While
// a disk stays full, the replica does not take part in the group, but its process runs on.
//
// Each opening of the log has a state machine of its own, which starts from the last
// snapshot. Callers read state and propose commands through a Leadership, which belongs to
// one opening and one term. So what they read never goes back to an older state, and what
// they decided on in one term is not committed in another.
//
// # Usage
//
//	q := quorum.New(quorum.Options{...})
//	q.Register(server)
//	err := q.Run(ctx)
//
// In a handler, with the Leadership that OnRole was last called with:
//
//	index, err := leadership.Confirm(ctx)
//	state := leadership.State()
//	result, err := leadership.Propose(ctx, command)
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
	"github.com/gentiansail/gentiansail/internal/coordination/replication"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Timing of the log.
const (
	heartbeatInterval clock.Millis = 100
	// electionTimeout allows for disks that take 5 ms to sync and for hosts with half a
	// CPU core. A lost leader is replaced after 0.5 to 1 s, well within a lease.
	electionTimeout clock.Millis = 500
	// snapshotInterval is the number of entries between snapshots. An entry takes up to
	// about 100 KB.
	snapshotInterval = 500
	// reopenDelay is the time after a disk fault until the log is opened again.
	reopenDelay clock.Millis = 500
	// membershipInterval is how often a replica outside the group requests admission, or tries
	// to bootstrap the group, and how often the leader looks for silent members.
	membershipInterval clock.Millis = 300
	// leaderlessLimit is the time without a leader after which a voter requests admission.
	// An election takes less.
	leaderlessLimit clock.Millis = 1000
	// joinTimeout bounds one such attempt.
	joinTimeout clock.Millis = 1500
)

const group replog.GroupID = "mesh"

// ErrNotOpen means that the log is not open, either at the start or after a disk fault.
var ErrNotOpen = merry.Sentinel("replicated log is not open")

// StateMachine is the state machine to which the log applies entries.
type StateMachine struct {
	Apply   func(replog.Entry) any
	Capture func() (func() ([]byte, error), error)
	Restore func([]byte) error
	// State is the state that these functions change.
	State any
}

// Options configure a Quorum.
type Options struct {
	Name       string
	Address    message.Address
	DataFolder string
	// Seeds are addresses of replicas. They may include the one of this replica.
	Seeds      []message.Address
	FirstStart bool
	// VoterCount is the number of voters that the group needs to tolerate the required
	// loss of hosts.
	VoterCount int
	// NewMachine returns an empty state machine. It is called each time the log is opened.
	NewMachine func() StateMachine
	Clock      clock.Clock
	Log        zerolog.Logger
	// OnRole is called with each change of role, and with a Leadership if this replica leads
	// now. It must not block.
	OnRole func(replog.Role, replog.Term, *Leadership)
}

// Quorum is one replica. It outlives its log, which is closed and opened again after a
// disk fault.
type Quorum struct {
	options Options
	// replica is nil while the log is not open.
	replica atomic.Pointer[replog.Replica]
	// leadership is nil while this replica does not lead.
	leadership atomic.Pointer[Leadership]
	// parts joins the parts of long messages from other replicas.
	parts *replication.Assembler

	// mu guards the fields below.
	mu sync.Mutex
	// postponedLoggedAt is when the postponed admission of a replica was last logged.
	postponedLoggedAt map[message.HostName]clock.Millis
	// peers are the other replicas by address.
	peers map[string]*peer
	// sendCtx ends after the log, so that its last messages are sent.
	sendCtx context.Context
	senders sync.WaitGroup
}

// peer is another replica.
type peer struct {
	client *rpc.Client
	sender *replication.Sender
}

// New returns a Quorum that is not running yet.
func New(options Options) *Quorum {
	return &Quorum{options: options, parts: replication.NewAssembler(), peers: map[string]*peer{}, postponedLoggedAt: map[message.HostName]clock.Millis{}}
}

// Run keeps the log open until ctx ends.
func (q *Quorum) Run(ctx context.Context) error {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	q.mu.Lock()
	q.sendCtx = sendCtx
	q.mu.Unlock()
	defer q.senders.Wait()
	defer cancel()
	for {
		err := q.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		q.options.Log.Error().Err(err).Str("Event", "log-closed").Int64("RetryMillis", int64(reopenDelay)).Msg("replicated log failed and will be reopened")
		if q.options.Clock.Sleep(ctx, reopenDelay) != nil {
			return nil
		}
	}
}

// firstStartFile is the name of an empty file that marks the data folder of a replica
// whose first start is that of the whole system. It is removed once the replica belongs to
// a group, so that the group can still be bootstrapped if the process is killed before that.
const firstStartFile = "first-start"

// runOnce opens the log and runs it until it ends.
func (q *Quorum) runOnce(ctx context.Context) error {
	if err := q.markFirstStart(); err != nil {
		return err
	}
	o := &opening{machine: q.options.NewMachine()}
	membershipCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	r, err := replog.Open(replicaCtx, replog.Options{
		Folder: filepath.Join(q.options.DataFolder, "log"), Group: group,
		Name: replog.ReplicaID(q.options.Name), Address: string(q.options.Address), Clock: q.options.Clock,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		HeartbeatEvery: heartbeatInterval, ElectionTimeout: electionTimeout, SnapshotEvery: snapshotInterval,
		Send: q.send, Apply: o.machine.Apply, Snapshot: o.machine.Capture, Restore: o.machine.Restore,
		OnRoleChange: func(role replog.Role, term replog.Term) { q.changeRole(o, role, term) },
	})
	if err != nil {
		return err
	}
	o.replica.Store(r)
	s := r.Status()
	q.options.Log.Info().Str("Event", "log-opened").Uint64("Term", uint64(s.Term)).Uint64("SnapshotIndex", uint64(s.SnapshotIndex)).Uint64("LastIndex", uint64(s.LastIndex)).
		Msg("replicated log opened, state restored from its snapshot")
	q.replica.Store(r)
	defer q.replica.Store(nil)
	var membership sync.WaitGroup
	membership.Go(func() { q.joinGroup(membershipCtx, r) })
	membership.Go(func() { q.removeSilentMembers(membershipCtx, r) })
	select {
	case err = <-r.Done():
		// The status of a closed log still says that this replica leads.
		q.replica.Store(nil)
		q.endLeadership()
		cancel()
		membership.Wait()
	case <-ctx.Done():
		membership.Wait()
		q.leaveGroup(replicaCtx, r)
		stopReplica()
		err = <-r.Done()
		q.endLeadership()
	}
	return err
}

// markFirstStart creates firstStartFile if this is the first start and the log does not
// exist yet.
func (q *Quorum) markFirstStart() error {
	if !q.options.FirstStart {
		return nil
	}
	if err := os.MkdirAll(q.options.DataFolder, 0o750); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(q.options.DataFolder, "log")); err == nil {
		return nil
	}
	return os.WriteFile(filepath.Join(q.options.DataFolder, firstStartFile), nil, 0o640)
}

// mayBootstrap reports whether this replica is still in its first start.
func (q *Quorum) mayBootstrap() bool {
	_, err := os.Stat(filepath.Join(q.options.DataFolder, firstStartFile))
	return err == nil
}

// joinGroup bootstraps the group or requests admission while this identity is not a voter.
// A voter that finds no leader requests admission as well: it may have been removed, and
// does not get the entry that says so.
func (q *Quorum) joinGroup(ctx context.Context, r *replog.Replica) {
	lastLeader := q.options.Clock.Now()
	for joined := false; ctx.Err() == nil; {
		s := r.Status()
		if s.Leader.Identity != "" {
			lastLeader = q.options.Clock.Now()
		}
		switch {
		case isVoter(s) && q.options.Clock.Now()-lastLeader < leaderlessLimit:
		case len(s.Voters) == 0 && q.mayBootstrap() && len(q.options.Seeds) > 0 && q.options.Seeds[0] == q.options.Address:
			q.bootstrapGroup(ctx, r)
		default:
			q.requestAdmission(ctx, s)
		}
		if !joined && isVoter(s) {
			joined = true
			_ = os.Remove(filepath.Join(q.options.DataFolder, firstStartFile))
		}
		if q.options.Clock.Sleep(ctx, membershipInterval) != nil {
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

// bootstrapGroup asks the seeds for their identities and bootstraps the group with them,
// if none of them belongs to a group and all are in their first start.
func (q *Quorum) bootstrapGroup(ctx context.Context, r *replog.Replica) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
	defer cancel()
	var members []message.ReplicaMember
	for _, a := range q.options.Seeds {
		reply, err := rpc.Call[message.IdentityReply](ctx, q.client(string(a)), message.MethodIdentity, message.IdentityRequest{Host: message.HostName(q.options.Name)})
		if err != nil || !reply.Empty || !reply.FirstStart {
			q.options.Log.Info().Err(err).Str("Event", "founding-waits").Str("Seed", string(a)).Bool("Empty", reply.Empty).Bool("FirstStart", reply.FirstStart).Msg("seed is not ready to bootstrap the group")
			return
		}
		members = append(members, reply.Member)
	}
	// This replica comes last. If a call fails before that, it does not belong to the group
	// yet, so joinGroup calls bootstrapGroup again.
	for _, a := range append(q.options.Seeds[1:len(q.options.Seeds):len(q.options.Seeds)], q.options.Address) {
		if _, err := rpc.Call[struct{}](ctx, q.client(string(a)), message.MethodBootstrap, message.BootstrapRequest{Members: members}); err != nil {
			q.options.Log.Warn().Err(err).Str("Event", "founding-failed").Str("Seed", string(a)).Msg("seed did not bootstrap the group")
			return
		}
	}
	q.options.Log.Info().Str("Event", "founded").Int("Members", len(members)).Str("Identity", string(r.Status().Self.Identity)).Msg("group bootstrapped")
}

// Register registers the handlers for the calls of other replicas.
func (q *Quorum) Register(s *rpc.Server) {
	rpc.Handle(s, message.MethodLog, q.deliver)
	rpc.Handle(s, message.MethodLogPart, q.deliverPart)
	rpc.Handle(s, message.MethodIdentity, q.identity)
	rpc.Handle(s, message.MethodBootstrap, q.bootstrap)
	rpc.Handle(s, message.MethodAdmit, q.admit)
	rpc.Handle(s, message.MethodResign, q.resign)
}

func (q *Quorum) deliver(_ context.Context, m message.LogMessage) (struct{}, error) {
	data, err := base64.StdEncoding.DecodeString(m.Data)
	if err != nil {
		return struct{}{}, rejected(err)
	}
	return struct{}{}, q.deliverEncoded(data)
}

func (q *Quorum) deliverPart(_ context.Context, part message.LogPart) (struct{}, error) {
	data, err := q.parts.Add(part)
	if err != nil {
		return struct{}{}, rejected(err)
	}
	if data == nil {
		return struct{}{}, nil
	}
	return struct{}{}, q.deliverEncoded(data)
}

func (q *Quorum) deliverEncoded(data []byte) error {
	r := q.replica.Load()
	if r == nil {
		return unavailable(ErrNotOpen)
	}
	m, err := replog.DecodeMessage(data)
	if err != nil {
		return rejected(err)
	}
	r.Deliver(m)
	return nil
}

func (q *Quorum) identity(context.Context, message.IdentityRequest) (message.IdentityReply, error) {
	r := q.replica.Load()
	if r == nil {
		return message.IdentityReply{}, unavailable(ErrNotOpen)
	}
	s := r.Status()
	return message.IdentityReply{
		Member: q.self(s),
		Empty:  len(s.Voters) == 0, FirstStart: q.mayBootstrap(),
	}, nil
}

// bootstrap joins this replica to the group that the first seed bootstraps.
func (q *Quorum) bootstrap(_ context.Context, b message.BootstrapRequest) (struct{}, error) {
	r := q.replica.Load()
	if r == nil {
		return struct{}{}, unavailable(ErrNotOpen)
	}
	if !q.mayBootstrap() {
		return struct{}{}, rejected(errors.New("replica is not in its first start"))
	}
	var members []replog.Member
	for _, m := range b.Members {
		members = append(members, member(m))
	}
	if err := r.Bootstrap(members); err != nil {
		return struct{}{}, rejected(err)
	}
	return struct{}{}, nil
}

func member(m message.ReplicaMember) replog.Member {
	return replog.Member{Name: replog.ReplicaID(m.Name), Identity: replog.Identity(m.Identity), Address: string(m.Address)}
}

func unavailable(err error) error {
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
}

func rejected(err error) error { return &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()} }

// notLeader returns an error with the address of the leader.
func (q *Quorum) notLeader() error {
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: q.Leader()}
}

// Leader returns the address of the leader; empty if none is known.
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

// IsVoter reports whether this identity is a voter as far as this replica knows.
func (q *Quorum) IsVoter() bool {
	s, ok := q.Status()
	return ok && isVoter(s)
}

// rpcError converts an error of the log.
func (q *Quorum) rpcError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replog.ErrNotLeader):
		return q.notLeader()
	case errors.Is(err, replog.ErrTooLarge):
		return rejected(err)
	}
	return &rpc.Error{Code: rpc.CodeUnknown, Message: err.Error()}
}

// client returns the RPC client for an address.
func (q *Quorum) client(address string) *rpc.Client { return q.peer(address).client }

// peer returns the peer with an address. It creates the peer and starts its sender if
// necessary.
func (q *Quorum) peer(address string) *peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[address]
	if p == nil {
		p = q.newPeer(address)
		q.peers[address] = p
		ctx := q.sendCtx
		q.senders.Go(func() {
			defer p.client.Close()
			_ = p.sender.Run(ctx)
		})
	}
	return p
}

func (q *Quorum) newPeer(address string) *peer {
	client := rpc.NewClient(address)
	return &peer{client: client, sender: replication.NewSender(replication.Options{
		From: q.options.Name, Client: client, PartMethod: message.MethodLogPart,
		Notify: func(ctx context.Context, data string) error {
			return client.Notify(ctx, message.MethodLog, message.LogMessage{Data: data})
		},
	})}
}

// send queues a message for its recipient, or drops it if the queue is full.
func (q *Quorum) send(m replog.Message) { q.peer(m.To.Address).sender.Offer(m) }

// PeerAddress returns the address on which a process listens for other processes, given
// any address of its host and the peer port, which is the same on all hosts. It returns an
// empty address if the given one cannot be parsed.
func PeerAddress(address string, port int) message.Address {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return message.Address(a.Addr().String() + ":" + strconv.Itoa(port))
}
