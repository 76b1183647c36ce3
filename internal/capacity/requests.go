package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gentiansail/gentiansail/internal/bench"
	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// hostCount is the number of hosts, each with a real node and a stand-in target,
// that measureRequests uses.
const hostCount = 5

// requestConfig is the configuration for measureRequests. Its service has the same
// name as the service of the fleet.
const requestConfig = `{
  "Regions": [{"Name": "tz-coast", "FailureDomains": ["dsm-a", "dsm-b", "dsm-c"]}],
  "Services": [{"Name": "catalogue", "Keyed": true, "Partitions": 64, "MoveBudget": 4}],
  "Routes": [{
    "Name": "browse", "Service": "catalogue", "Methods": ["GET"], "Path": "/catalogue/",
    "Key": {"From": "PathSegment", "Segment": 2}, "Repeatable": true, "Class": "browse", "DeadlineMillis": 10000
  }],
  "CallerLimits": []
}`

// measureRequests sends the same load first directly to the targets and then
// through the nodes, at each rate.
func measureRequests(ctx context.Context, o options) ([]sample, error) {
	folder, err := os.MkdirTemp("", "gentiansail-capacity-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := startHosts(ctx, o, folder)
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return nil, err
	}
	var out []sample
	for _, rate := range o.rates {
		s, err := measureRate(ctx, o, c, rate)
		if err != nil {
			return nil, fmt.Errorf("%d requests/s: %w", rate, err)
		}
		out = append(out, s)
	}
	return out, nil
}

// startHosts starts the cluster and waits until it is ready. The caller closes the
// cluster if it is not nil, also in case of an error.
func startHosts(ctx context.Context, o options, folder string) (*cluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		Gentiansail: o.gentiansail, Standin: o.standin, Folder: folder, Replicas: 3, Group: group,
		Services: map[wire.ServiceName]cluster.Service{service: {Targets: hostCount, Slots: 64, Arguments: []string{"--service-millis", "2"}}},
	})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(folder, "config")
	if err := os.Mkdir(config, 0o700); err != nil {
		return c, err
	}
	if err := os.WriteFile(filepath.Join(config, "mesh.jsonc"), []byte(requestConfig), 0o600); err != nil {
		return c, err
	}
	if err := c.Bootstrap(ctx); err != nil {
		return c, err
	}
	if err := c.Apply(ctx, config); err != nil {
		return c, err
	}
	return c, c.WaitReady(ctx)
}

// measureRate compares direct and routed requests at one rate.
func measureRate(ctx context.Context, o options, c *cluster.Cluster, rate int) (sample, error) {
	var nodes, targets []string
	for _, h := range c.Hosts {
		nodes = append(nodes, string(h.Caller))
		targets = append(targets, string(h.Target.Addr()))
	}
	direct, err := runLoad(ctx, o, targets, rate)
	if err != nil {
		return sample{}, err
	}
	secondsBefore, _, err := nodeUsage(c)
	if err != nil {
		return sample{}, err
	}
	began := clock.System().Now()
	routed, err := runLoad(ctx, o, nodes, rate)
	if err != nil {
		return sample{}, err
	}
	seconds := float64(clock.System().Now()-began) / 1000
	secondsAfter, memory, err := nodeUsage(c)
	if err != nil {
		return sample{}, err
	}
	return sample{size: float64(rate), values: []quantity{
		{"direct p50, ms", direct.Latency.P50},
		{"direct p99, ms", direct.Latency.P99},
		{"through nodes p50, ms", routed.Latency.P50},
		{"through nodes p99, ms", routed.Latency.P99},
		{"ratio p50", routed.Latency.P50 / direct.Latency.P50},
		{"ratio p99", routed.Latency.P99 / direct.Latency.P99},
		{"complete, %", 100 * float64(routed.Outcomes[wire.OutcomeComplete]) / float64(routed.Requests)},
		{"all nodes, % of a core", 100 * (secondsAfter - secondsBefore) / seconds},
		{"largest node, MB", memory / 1e6},
	}}, nil
}

// runLoad sends load to the addresses for o.window and returns the report.
func runLoad(ctx context.Context, o options, addresses []string, rate int) (bench.Report, error) {
	var out bytes.Buffer
	err := bench.Run(ctx, bench.Options{
		Addresses: addresses, Rate: float64(rate), Duration: o.window, Keys: 1000, Skew: 0.5, Seed: 1, Format: bench.JSON,
		Routes: []bench.Route{{Name: "browse", Service: string(service), Method: "GET", Path: "/catalogue/{key}", Repeatable: true, Weight: 1}},
	}, &out)
	var r bench.Report
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(out.Bytes(), &r)
}

// nodeUsage returns the total processor time of all nodes and the memory of the
// node that uses most.
func nodeUsage(c *cluster.Cluster) (seconds, largestBytes float64, err error) {
	for _, h := range c.Hosts {
		u, err := usageOf(h.Node.PID())
		if err != nil {
			return 0, 0, err
		}
		seconds += u.cpuSeconds
		largestBytes = max(largestBytes, u.residentBytes)
	}
	return seconds, largestBytes, nil
}
