package node

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
)

// Guards against a request that reaches a target which does not own its key,
// whichever node the caller asked.
func TestRoutesToOwner(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	a, _ := startNode(t, f, "a")
	b, _ := startNode(t, f, "b")
	startTarget(t, a, "catalogue", true)
	startTarget(t, b, "catalogue", false)
	served(f, a, b)
	for n := range 20 {
		for _, v := range []*node{a, b} {
			path := fmt.Sprintf("/catalogue/key%d?chunks=2", n)
			status, h, body := ask(t, http.MethodGet, string(v.settings.CallerListen), path, map[string]string{header.RequestID: "r1"}, "")
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
			c.Assert(h.Get(header.Outcome), qt.Equals, "complete")
			c.Assert(h.Get(header.RequestID), qt.Equals, "r1")
			p, _ := f.machine.Owner("catalogue", fmt.Sprintf("key%d", n))
			c.Assert(body, qt.Contains, fmt.Sprintf(`"Partition":%q,"Epoch":%d`, p.Partition, p.Epoch))
			c.Assert(body, qt.Contains, "chunk 2 of 2 of r1\n")
		}
	}
}
