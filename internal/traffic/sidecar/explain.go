package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/ingress"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Paths of the questions that a sidecar answers beside its metrics.
const (
	ExplainPath   = "/explain"
	admissionPath = "/explain/admission"
)

const (
	// maxQuestion bounds the body of a question in bytes.
	maxQuestion = 64 << 10
	// admissionTimeout bounds the question to another host.
	admissionTimeout clock.Millis = 1000
)

// Explanation is the answer to a question about a request that is not sent.
type Explanation struct {
	ingress.Explanation
	// ViewAgeMillis is how long ago the core confirmed the view; -1 if it never did.
	ViewAgeMillis clock.Millis
}

// Explainer returns the handler for questions about where a request would go. Its answers change
// nothing, and send nothing to a target.
func (s *Sidecar) Explainer() http.Handler {
	r := chi.NewRouter()
	r.Post(ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		var q ingress.Question
		if !readQuestion(w, r, &q) {
			return
		}
		e, err := s.explain(r.Context(), q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeAnswer(w, e)
	})
	r.Post(admissionPath, func(w http.ResponseWriter, r *http.Request) {
		var q hop.Request
		if readQuestion(w, r, &q) {
			writeAnswer(w, s.previewAdmission(q))
		}
	})
	return r
}

func (s *Sidecar) explain(ctx context.Context, q ingress.Question) (Explanation, error) {
	e, err := s.ingress.Explain(q, func(target message.Instance, request hop.Request) (gate.Preview, error) {
		if target.Peer == s.peerAddress() {
			return s.gate.Preview(request), nil
		}
		return s.askAdmission(ctx, target.Peer, request)
	})
	out := Explanation{Explanation: e, ViewAgeMillis: -1}
	if confirmed := clock.Millis(s.viewConfirmed.Load()); confirmed > 0 {
		out.ViewAgeMillis = s.options.Clock.Now() - confirmed
	}
	return out, err
}

// previewAdmission returns what this host does with a request that another one sends.
func (s *Sidecar) previewAdmission(q hop.Request) gate.Preview {
	p := s.gate.Preview(q)
	p.Load = addLinkLoad(p.Load, s.options.Link.Utilization())
	return p
}

// askAdmission asks the sidecar beside a target whether it would admit a request.
func (s *Sidecar) askAdmission(ctx context.Context, peer message.Address, q hop.Request) (gate.Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout.Duration())
	defer cancel()
	var p gate.Preview
	err := Ask(ctx, string(quorum.PeerAddress(string(peer), s.options.Settings.MetricsPort())), admissionPath, q, &p)
	return p, err
}

// Ask sends a question to the address at which a sidecar serves its metrics, and decodes the
// answer.
func Ask(ctx context.Context, address, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", address, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

func readQuestion(w http.ResponseWriter, r *http.Request, question any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestion)).Decode(question); err != nil {
		http.Error(w, "the question cannot be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
