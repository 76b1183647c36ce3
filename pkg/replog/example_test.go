package replog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// A group with one voter. Its state machine sums up the lengths of the commands.
func Example() {
	folder, err := os.MkdirTemp("", "replog")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()

	sum := 0
	becameLeader := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	r, err := replog.Open(ctx, replog.Options{
		Folder: folder, Group: "example", Name: "a",
		Clock: clock.System(), Random: rand.New(rand.NewPCG(1, 2)),
		HeartbeatEvery: 10, ElectionTimeout: 50, SnapshotEvery: 1000,
		Send:  func(replog.Message) {},
		Apply: func(e replog.Entry) any { sum += len(e.Data); return sum },
		Snapshot: func() (func() ([]byte, error), error) {
			captured := sum
			return func() ([]byte, error) { return []byte{byte(captured)}, nil }, nil
		},
		Restore: func(b []byte) error { sum = int(b[0]); return nil },
		OnRoleChange: func(role replog.Role, _ replog.Term) {
			if role == replog.Leader {
				becameLeader <- struct{}{}
			}
		},
	})
	if err != nil {
		panic(err)
	}
	if err := r.Bootstrap([]replog.Member{r.Status().Self}); err != nil {
		panic(err)
	}
	<-becameLeader
	for _, word := range []string{"knitted", "blankets"} {
		total, err := r.Propose(ctx, []byte(word))
		fmt.Println(total, err)
	}
	stop()
	fmt.Println(<-r.Done())
	// Output:
	// 7 <nil>
	// 15 <nil>
	// <nil>
}
