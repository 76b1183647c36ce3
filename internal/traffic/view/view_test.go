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

// newTestStore returns a store at version 5 with two routes and one target, which owns
// the keys from 1000.
func newTestStore(t *testing.T) *Store {
	store := NewStore()
	qt.Assert(t, store.Apply(message.WatchReply{Version: 5, Full: true, Items: []message.Item{
		routeItem(t, "r-1", "/browse/"), routeItem(t, "r-2", "/browse/open/"),
		item(t, message.ItemService+"catalogue", 1, message.ServiceSpec{Name: "catalogue", Keyed: true}),
		item(t, message.ItemInstance+"i-1", 2, message.Instance{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "catalogue", Slots: 10}),
		item(t, message.ItemRangeOwners+"catalogue/10", 3, []message.RangeOwner{{From: 2000, To: 65535, Owner: "i-1"}}),
		item(t, message.ItemRangeOwners+"catalogue/9", 3, []message.RangeOwner{{From: 0, To: 999}, {From: 1000, To: 1999, Owner: "i-1"}}),
		item(t, message.ItemRevision, 1, map[string]int{"Version": 7}),
	}}), qt.IsNil)
	return store
}

// A request must get the route with the longest matching prefix, and a prefix must not
// match in the middle of a path segment.
func TestMatch(t *testing.T) {
	v := newTestStore(t).Current()
	tests := map[string]struct {
		host, path, want string
	}{
		"short prefix":     {"mesh.example", "/browse/2f", "r-1"},
		"path is a prefix": {"mesh.example", "/browse/", "r-1"},
		"longest prefix":   {"mesh.example", "/browse/open/2f", "r-2"},
		"deeper path":      {"mesh.example", "/browse/open/a/b/c/", "r-2"},
		"similar segment":  {"mesh.example", "/browse/openly/2f", "r-1"},
		"no final slash":   {"mesh.example", "/browse", ""},
		"other path":       {"mesh.example", "/pledge/2f", ""},
		"empty path":       {"mesh.example", "", ""},
		"other host":       {"other.example", "/browse/2f", ""},
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

// Guards against a partial reply that drops elements other than the removed ones, or that
// leaves removed elements in the view.
func TestApplyKeepsUnchangedElements(t *testing.T) {
	store := newTestStore(t)
	previous := store.Current()
	qt.Assert(t, store.Apply(message.WatchReply{
		Version: 6, Removed: []string{message.ItemRoute + "r-2"},
		Items: []message.Item{routeItem(t, "r-3", "/pledge/"), item(t, message.ItemQuarantine+"f", 6, true)},
	}), qt.IsNil)
	v := store.Current()
	qt.Assert(t, v.Match("mesh.example", "/browse/open/2f").Name, qt.Equals, "r-1")
	qt.Assert(t, v.Match("mesh.example", "/pledge/2f").Name, qt.Equals, "r-3")
	qt.Assert(t, v.Revision, qt.Equals, 7)
	qt.Assert(t, v.Quarantined("f"), qt.IsTrue)
	for key, want := range map[message.Key]string{0: "", 999: "", 1000: "i-1", 1999: "i-1", 2000: "i-1", 65535: "i-1"} {
		i, _ := v.Owner("catalogue", key)
		qt.Assert(t, string(i.Incarnation.ID), qt.Equals, want)
	}
	// A request that started with the previous view still sees it unchanged.
	qt.Assert(t, previous.Match("mesh.example", "/browse/open/2f").Name, qt.Equals, "r-2")
	qt.Assert(t, previous.Match("mesh.example", "/pledge/2f"), qt.IsNil)
	qt.Assert(t, previous.Quarantined("f"), qt.IsFalse)
}

// Guards against elements that stay in the view although a full reply no longer contains
// them.
func TestFullReplyReplacesAll(t *testing.T) {
	store := newTestStore(t)
	qt.Assert(t, store.Apply(message.WatchReply{Version: 9, Full: true, Items: []message.Item{routeItem(t, "r-9", "/new/")}}), qt.IsNil)
	v := store.Current()
	qt.Assert(t, v.Match("mesh.example", "/browse/2f"), qt.IsNil)
	qt.Assert(t, v.TargetCount(), qt.Equals, 0)
	_, ok := v.Owner("catalogue", 12)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, v.Revision, qt.Equals, 0)
}

// A reply with an element that cannot be decoded must not be applied in part, and a reply
// with an older version must be ignored.
func TestApplyRejectsInvalidAndOldReplies(t *testing.T) {
	store := newTestStore(t)
	err := store.Apply(message.WatchReply{Version: 6, Full: true, Items: []message.Item{routeItem(t, "r-3", "/pledge/"), {Name: message.ItemRoute + "r-4", Text: "{"}}})
	qt.Assert(t, errors.Is(err, ErrInvalidElement), qt.IsTrue)
	qt.Assert(t, store.Apply(message.WatchReply{Version: 4, Full: true}), qt.IsNil)
	qt.Assert(t, int(store.Current().Version), qt.Equals, 5)
	qt.Assert(t, store.Apply(message.WatchReply{Version: 6, Removed: []string{message.ItemRoute + "r-2"}}), qt.IsNil)
	qt.Assert(t, store.Current().Match("mesh.example", "/browse/2f").Name, qt.Equals, "r-1")
}
