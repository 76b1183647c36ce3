package delta

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// route returns a published route with random names, which compress badly.
func route(random *rand.Rand, n int) message.Item {
	word := func() string {
		b := make([]byte, 7)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(b)
	}
	name := "r-" + word()
	text, _ := json.Marshal(message.Route{
		Name: name, HostName: "jepu9.example", Prefix: "/" + word() + "/" + word() + "/", Repeatable: n%2 == 0, MaxAttempts: 2,
		TargetLatencyMillis: 600, TimeoutMillis: 1200, Rank: n % 3, Splits: []message.Split{{Service: "huvo11a", Weight: 1}},
	})
	return message.Item{Name: message.ItemRoute + name, Text: string(text), Version: 812}
}

// Guards against a change that takes too long on a slow link: 2,000 new routes must reach
// a sidecar over 2 Mbit/s within one of the two seconds that deployments allow for a
// change to be in force.
func TestManyRoutesFitASlowLink(t *testing.T) {
	const bytesPerSecond = 250_000
	random := rand.New(rand.NewPCG(1, 2))
	r := message.WatchReply{Version: 812, Items: []message.Item{}, Removed: []string{}}
	for n := range 2000 {
		r.Items = append(r.Items, route(random, n))
	}
	packed, err := Pack(r)
	qt.Assert(t, err, qt.IsNil)
	encoded, err := json.Marshal(packed)
	qt.Assert(t, err, qt.IsNil)
	unpacked, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d bytes packed, %d bytes unpacked", len(encoded), len(unpacked))
	qt.Assert(t, len(encoded) < bytesPerSecond, qt.IsTrue)
}

// Guards against a change that is altered by packing and unpacking.
func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 200).Draw(t, "items")
		r := message.WatchReply{Version: 9, Full: true, CoreAddresses: []message.Address{"127.0.0.1:1"}, Items: []message.Item{}, Removed: []string{}}
		for i := range n {
			r.Items = append(r.Items, message.Item{Name: fmt.Sprintf("route/%d", i), Text: rapid.String().Draw(t, "text"), Version: 3})
		}
		r.Removed = append(r.Removed, rapid.SliceOf(rapid.String()).Draw(t, "removed")...)
		packed, err := Pack(r)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Unpack(packed); err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("error %v, got %v, want %v", err, got, r)
		}
	})
}

func TestUnpackRejectsCorruptContent(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "invalid base64": "***", "invalid deflate stream": "AAAA"} {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(message.WatchReply{Packed: &text})
			qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue)
		})
	}
}
