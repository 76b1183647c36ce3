package process

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against log lines whose time is too coarse to order the lines of different
// processes.
func TestLogLinesCarryMilliseconds(t *testing.T) {
	var output bytes.Buffer
	log := NewLogger(&output, "node", "catalogue-1")
	log.Info().Msg("leading")
	var line struct{ Role, Name, Time string }
	qt.Assert(t, json.Unmarshal(output.Bytes(), &line), qt.IsNil)
	qt.Assert(t, line.Role+" "+line.Name, qt.Equals, "node catalogue-1")
	_, err := time.Parse("2006-01-02T15:04:05.000Z", line.Time)
	qt.Assert(t, err, qt.IsNil)
}

func TestMetricsListenerServesHealthAndMetrics(t *testing.T) {
	for name, path := range map[string]string{"health": "/healthz", "metrics": "/metrics"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- ServeMetrics(ctx, l, prometheus.NewRegistry(), func() error { return nil }, nil) }()
			r, err := http.Get("http://" + l.Addr().String() + path)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Body.Close(), qt.IsNil)
			qt.Assert(t, r.StatusCode, qt.Equals, http.StatusOK)
			stop()
			qt.Assert(t, <-served, qt.IsNil)
		})
	}
}
