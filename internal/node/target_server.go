package node

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// maxAnnouncedSlots is the maximum number of slots and of connections that a target can
// announce.
const maxAnnouncedSlots = 100_000

// announceResponse is the response to POST /v1/announce.
type announceResponse struct {
	Incarnation wire.Incarnation
}

// targetHandler returns the handler for the node's own target.
func (n *node) targetHandler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/announce", n.serveAnnounce)
	r.Post("/v1/withdraw", n.serveWithdraw)
	return r
}

func (n *node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	a, problem := readAnnouncement(r.Body)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	m, err := n.targets.announce(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceResponse{Incarnation: m.incarnation})
}

// serveWithdraw drains the target. It responds when the target has no requests left and
// may stop.
func (n *node) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	a, problem := readAnnouncement(r.Body)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	m := n.targets.current()
	if m != nil && m.target.Address == a.Address && m.target.Instance == a.Instance {
		n.drain(n.processCtx, m, "withdrawn by the target")
	}
	w.WriteHeader(http.StatusNoContent)
}

// readAnnouncement returns an announcement, and a message if it is invalid. Unknown
// fields are ignored, so that targets can be newer than this node.
func readAnnouncement(r io.Reader) (announcement, string) {
	var a announcement
	if err := json.NewDecoder(io.LimitReader(r, maxProtocolBytes)).Decode(&a); err != nil {
		return a, "Announcement: " + err.Error()
	}
	address, err := netip.ParseAddrPort(string(a.Address))
	switch {
	case a.Service == "":
		return a, "Service: missing"
	case err != nil || address.Port() == 0:
		return a, "Address: not an IP address and port"
	case a.Slots < 1 || a.Slots > maxAnnouncedSlots:
		return a, "Slots: out of range"
	case a.Connections < 1 || a.Connections > maxAnnouncedSlots:
		return a, "Connections: out of range"
	}
	return a, ""
}
