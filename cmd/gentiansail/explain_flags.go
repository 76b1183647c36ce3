package main

import (
	"context"
	"time"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/traffic/ingress"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// explainFlags holds the flag values of the explain command.
type explainFlags struct {
	address  string
	question ingress.Question
	timeLeft time.Duration
	json     bool
}

func (c *commandLine) addExplain() {
	e := &c.explain
	s := c.add("explain", "print where a request would go now, and why, without sending it; exit code 1 if it would be refused", func(ctx context.Context) error {
		o := c.session()
		if e.json {
			o.Output = operator.JSON
		}
		e.question.RemainingMillis = clock.FromDuration(e.timeLeft)
		return o.Explain(ctx, e.address, e.question)
	})
	s.AddPositionalValue(&e.question.Path, "PATH", 1, true, "path and query of the request")
	s.String(&e.address, "", "at", "metrics address of the sidecar whose host the caller would ask, IP:port")
	s.String(&e.question.Method, "", "method", "method of the request")
	s.String(&e.question.HostName, "", "host-name", "host name that the request is for")
	s.String(&e.question.Key, "", "key", "key of the request, as callers send it")
	s.Duration(&e.timeLeft, "", "deadline", "how long the caller would wait")
	s.Bool(&e.question.Call, "", "call", "explain a call of a run that is under way at the target of that host")
	s.Bool(&e.json, "", "json", "print JSON")
}
