// Command standin is a stand-in target for tests and demonstrations.
//
// # Usage
//
//	standin --node 127.0.0.1:7003 --service catalogue --slots 10 --checks-grants
//
// It prints its address as one line of JSON. On SIGTERM it withdraws from its node
// and then exits.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/integrii/flaggy"

	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	listen := "127.0.0.1:0"
	var service, node, advertise, recordFile string
	serviceMillis, coldMillis := int64(1), int64(0)
	o := standin.Options{Slots: 10, Connections: 130, ColdFactor: 1, Exit: os.Exit}
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-in target")
	flaggy.String(&listen, "", "listen", "address to listen on")
	flaggy.String(&node, "", "node", "target listener of the node beside it")
	flaggy.String(&advertise, "", "advertise", "address to announce; by default the one listened on")
	flaggy.String(&service, "", "service", "service to announce")
	flaggy.Int(&o.Slots, "", "slots", "requests worked on at a time")
	flaggy.Int(&o.Connections, "", "connections", "connections to announce")
	flaggy.Int64(&serviceMillis, "", "service-millis", "time one request takes")
	flaggy.Bool(&o.ChecksGrants, "", "checks-grants", "refuse requests that no grant covers")
	flaggy.Float64(&o.ColdFactor, "", "cold-factor", "factor of the service time at the start")
	flaggy.Int64(&coldMillis, "", "cold-millis", "length of the cold start")
	flaggy.Bool(&o.Sheds, "", "sheds", "refuse requests when all slots are taken")
	flaggy.Bool(&o.Stalled, "", "stuck", "let requests wait without a response; /health stays well")
	flaggy.Bool(&o.Unhealthy, "", "sick", "let /health report a failure; requests are served")
	flaggy.String(&recordFile, "", "record", "file to which each run is appended as JSON")
	flaggy.Parse()
	if recordFile != "" {
		f, err := os.OpenFile(recordFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		o.Record = f
	}
	o.Service = wire.ServiceName(service)
	o.Node = wire.Address(node)
	o.Advertise = wire.Address(advertise)
	o.ServiceMillis = clock.Millis(serviceMillis)
	o.ColdMillis = clock.Millis(coldMillis)

	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(struct{ Address string }{l.Addr().String()}); err != nil {
		return err
	}
	return standin.New(o).Run(ctx, l)
}
