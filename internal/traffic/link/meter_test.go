package link

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a busy link that looks idle to other hosts, and against one that looks busy
// long after its traffic has ended. 2.9 Mbit/s are 362 bytes a millisecond.
func TestUtilizationFollowsTraffic(t *testing.T) {
	m := clock.NewManual(1000)
	meter := NewMeter(m.Clock(), 2.9)
	qt.Check(t, meter.Utilization(), qt.Equals, 0.0)
	for range 2000 {
		m.Advance(1)
		meter.count(&meter.received, 181) // half of the bandwidth, without headers
		meter.count(&meter.sent, 20)
	}
	busy := meter.Utilization()
	qt.Check(t, busy > 0.5 && busy < 0.8, qt.IsTrue, qt.Commentf("utilization %.2f", busy))
	m.Advance(1500)
	qt.Check(t, meter.Utilization() < 0.01, qt.IsTrue)
	qt.Check(t, NewMeter(m.Clock(), 0).Utilization(), qt.Equals, 0.0)
}

// Guards against connections that are not measured, or that lose what the pool needs of a TCP
// connection.
func TestConnectionsAreMeasured(t *testing.T) {
	m := clock.NewManual(1000)
	meter := NewMeter(m.Clock(), 1)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := meter.Listener(raw)
	defer l.Close()
	c, err := meter.Dial(t.Context(), l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	s, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	_, err = c.Write(make([]byte, 1000))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(s, make([]byte, 1000))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, meter.received >= 1000 && meter.sent >= 1000, qt.IsTrue)
	_, ok := c.(interface{ CloseWrite() error })
	qt.Check(t, ok, qt.IsTrue)
}
