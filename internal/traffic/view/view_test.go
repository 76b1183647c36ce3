package view

import (
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

func item(t *testing.T, name string, version message.Version, element any) message.Item {
	text, err := json.Marshal(element)
	qt.Assert(t, err, qt.IsNil)
	return message.Item{Name: name, Version: version, Text: string(text)}
}

func routeItem(t *testing.T, name, prefix string) message.Item {
	return item(t, message.ItemRoute+name, 1, message.Route{Name: name, HostName: "mesh.example", Prefix: prefix, Splits: []message.Split{{Service: "catalogue", Weight: 1}}})
}

// first returns a book with two routes, a target and its keys.
func first(t *testing.T) *Store {
	b := NewStore()
	qt.Assert(t, b.Apply(message.WatchReply{Version: 5, Full: true, Items: []message.Item{
		routeItem(t, "r-1", "/browse/"), routeItem(t, "r-2", "/browse/open/"),
		item(t, message.ItemService+"catalogue", 1, message.ServiceSpec{Name: "catalogue", Keyed: true}),
		item(t, message.ItemInstance+"i-1", 2, message.Instance{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "catalogue", Slots: 10}),
		item(t, message.ItemRangeOwners+"catalogue/10", 3, []message.RangeOwner{{From: 2000, To: 65535, Owner: "i-1"}}),
		item(t, message.ItemRangeOwners+"catalogue/9", 3, []message.RangeOwner{{From: 0, To: 999}, {From: 1000, To: 1999, Owner: "i-1"}}),
		item(t, message.ItemRevision, 1, map[string]int{"Version": 7}),
	}}), qt.IsNil)
	return b
}

// Guards against a request that is sent by a shorter prefix than its own, or by one that
// ends within a segment of its path.
func TestMatch(t *testing.T) {
	v := first(t).Current()
	tests := map[string]struct {
		host, path, want string
	}{
		"short":             {"mesh.example", "/browse/2f", "r-1"},
		"prefix alone":      {"mesh.example", "/browse/", "r-1"},
		"longest":           {"mesh.example", "/browse/open/2f", "r-2"},
		"deeper":            {"mesh.example", "/browse/open/a/b/c/", "r-2"},
		"like a longer one": {"mesh.example", "/browse/openly/2f", "r-1"},
		"without a slash":   {"mesh.example", "/browse", ""},
		"other path":        {"mesh.example", "/pledge/2f", ""},
		"empty path":        {"mesh.example", "", ""},
		"other host":        {"other.example", "/browse/2f", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := v.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against a view that loses what a change did not touch, or keeps what it took
// away.
func TestTakeKeepsWhatIsNotTouched(t *testing.T) {
	b := first(t)
	before := b.Current()
	qt.Assert(t, b.Apply(message.WatchReply{
		Version: 6, Removed: []string{message.ItemRoute + "r-2"},
		Items: []message.Item{routeItem(t, "r-3", "/pledge/"), item(t, message.ItemQuarantine+"f", 6, true)},
	}), qt.IsNil)
	v := b.Current()
	qt.Assert(t, v.Match("mesh.example", "/browse/open/2f").Name, qt.Equals, "r-1")
	qt.Assert(t, v.Match("mesh.example", "/pledge/2f").Name, qt.Equals, "r-3")
	qt.Assert(t, v.Revision, qt.Equals, 7)
	qt.Assert(t, v.Quarantined("f"), qt.IsTrue)
	for key, want := range map[message.Key]string{0: "", 999: "", 1000: "i-1", 1999: "i-1", 2000: "i-1", 65535: "i-1"} {
		i, _ := v.Owner("catalogue", key)
		qt.Assert(t, string(i.Incarnation.ID), qt.Equals, want)
	}
	// A request that began with the view before goes on with it.
	qt.Assert(t, before.Match("mesh.example", "/browse/open/2f").Name, qt.Equals, "r-2")
	qt.Assert(t, before.Match("mesh.example", "/pledge/2f"), qt.IsNil)
	qt.Assert(t, before.Quarantined("f"), qt.IsFalse)
}

// Guards against elements that a full reply does not name any more.
func TestFullReplyReplacesAll(t *testing.T) {
	b := first(t)
	qt.Assert(t, b.Apply(message.WatchReply{Version: 9, Full: true, Items: []message.Item{routeItem(t, "r-9", "/new/")}}), qt.IsNil)
	v := b.Current()
	qt.Assert(t, v.Match("mesh.example", "/browse/2f"), qt.IsNil)
	qt.Assert(t, v.TargetCount(), qt.Equals, 0)
	_, ok := v.Owner("catalogue", 12)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, v.Revision, qt.Equals, 0)
}

// Guards against a half-taken change, and against going back.
func TestTakeRefuses(t *testing.T) {
	b := first(t)
	err := b.Apply(message.WatchReply{Version: 6, Full: true, Items: []message.Item{routeItem(t, "r-3", "/pledge/"), {Name: message.ItemRoute + "r-4", Text: "{"}}})
	qt.Assert(t, errors.Is(err, ErrInvalidElement), qt.IsTrue)
	qt.Assert(t, b.Apply(message.WatchReply{Version: 4, Full: true}), qt.IsNil)
	qt.Assert(t, int(b.Current().Version), qt.Equals, 5)
	qt.Assert(t, b.Apply(message.WatchReply{Version: 6, Removed: []string{message.ItemRoute + "r-2"}}), qt.IsNil)
	qt.Assert(t, b.Current().Match("mesh.example", "/browse/2f").Name, qt.Equals, "r-1")
}
