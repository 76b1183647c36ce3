package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// fillSlots fills the ten slots of a target with requests for a key. They run until the
// returned function cancels them.
func fillSlots(t *testing.T, n *node, target *testTarget, key string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	for range 10 {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(n.settings.CallerListen)+"/catalogue/"+key+"?work=60000", strings.NewReader(""))
		qt.Assert(t, err, qt.IsNil)
		r.Close = true
		r.Header.Set(header.IdempotencyKey, uuid.Must(uuid.NewV7()).String())
		r.Header.Set(header.DeadlineMillis, "600000")
		requests.Go(func() {
			if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	eventually(func() bool { return len(target.Runs()) == 10 })
	return func() {
		cancel()
		requests.Wait()
	}
}

// startPairWithBusyOwner starts a nodePair and fills the slots of the owner's target with
// requests for a key.
func startPairWithBusyOwner(t *testing.T, key string) (control *fakeControl, owner, other *node, first, second *testTarget) {
	pair := startPair(t)
	t.Cleanup(fillSlots(t, pair.owner, pair.first, key))
	return pair.control, pair.owner, pair.other, pair.first, pair.second
}

func admissionQueueLength(n *node) int { return n.targets.current().limiter.Waiting() }

// Guards against a planned move that waits until the requests in the owner's queue have run,
// against losing those requests, and against an idempotency key that stays in use by the
// attempt that was returned to the ingress node.
func TestMoveHandsBackWaitingRequests(t *testing.T) {
	c := qt.New(t)
	control, a, b, first, second := startPairWithBusyOwner(t, "blanket")
	suffix := 0
	movedKey := func() string { return fmt.Sprintf("other-%d", suffix) }
	for control.owner(movedKey()).Partition == control.owner("blanket").Partition {
		suffix++
	}
	h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String(), header.DeadlineMillis: "600000"}
	bodies := make(chan string, 2)
	send := func(method string, n *node) {
		_, _, body, err := trySendRequest(method, string(n.settings.CallerListen), "/catalogue/"+movedKey(), h, "")
		bodies <- fmt.Sprint(body, err)
	}
	go send(http.MethodGet, b)
	go send(http.MethodPost, a)
	eventually(func() bool { return admissionQueueLength(a) == 2 })
	control.startMove(movedKey(), b)
	for range 2 {
		c.Assert(<-bodies, qt.Contains, fmt.Sprintf(`"Key":%q`, movedKey()))
	}
	c.Assert(second.Runs(), qt.HasLen, 2)
	c.Assert(first.Runs(), qt.HasLen, 10)
	for _, r := range first.Runs() {
		c.Assert(int64(r.End), qt.Equals, int64(0))
	}
	_, got, _ := sendRequest(t, http.MethodPost, string(b.settings.CallerListen), "/catalogue/"+movedKey(), h, "")
	c.Assert(got.Get(header.Replayed), qt.Equals, "true")
	c.Assert(second.Runs(), qt.HasLen, 2)
}

// Guards against a request that is returned to the ingress node without limit by repeated
// moves, and against such returns using up the retry budget.
func TestHandedBackRequestsEnd(t *testing.T) {
	c := qt.New(t)
	// The requests in the slots belong to the same partition, so no move completes.
	control, a, b, first, _ := startPairWithBusyOwner(t, "blanket")
	done := make(chan http.Header, 1)
	go func() {
		h := map[string]string{header.DeadlineMillis: "600000"}
		_, got, _, _ := trySendRequest(http.MethodGet, string(b.settings.CallerListen), "/catalogue/blanket", h, "")
		done <- got
	}()
	p := control.owner("blanket")
	moves := []wire.Move{{Partition: p.Partition, FencingToken: p.FencingToken, To: b.targets.current().incarnation}}
	moveCount := 0
	for len(done) == 0 {
		eventually(func() bool { return admissionQueueLength(a) == 1 || len(done) == 1 })
		control.commit(wire.Command{MoveStart: &wire.MoveStart{Moves: moves}})
		eventually(func() bool { return admissionQueueLength(a) == 0 })
		control.commit(wire.Command{MoveCancel: &wire.MoveCancel{Moves: moves}})
		moveCount++
	}
	h := <-done
	c.Assert(h.Get(header.Outcome), qt.Equals, "not-run")
	c.Assert(h.Get(header.Reason), qt.Equals, string(reasonMoving))
	c.Assert(moveCount <= maxAttempts+1, qt.IsTrue, qt.Commentf("%d moves", moveCount))
	c.Assert(first.Runs(), qt.HasLen, 10)
	withdrawn := 0
	for b.retryBudget.Withdraw() {
		withdrawn++
	}
	c.Assert(withdrawn, qt.Equals, 20)
}

// Guards against a request that is rejected because it waited for a long time in the queue of
// the previous owner, and against unlimited waiting for an owner that cannot be reached.
func TestTimeInQueueExtendsWaitForOwner(t *testing.T) {
	c := qt.New(t)
	c.Assert(extendDeadline(2000, 3000, reasonMoving), qt.Equals, extendDeadline(5000, 0, reasonMoving))
	c.Assert(int64(extendDeadline(2000, 3000, reasonUnreachable)), qt.Equals, int64(2000))
}
