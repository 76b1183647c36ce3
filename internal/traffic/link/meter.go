package link

import (
	"context"
	"math"
	"net"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// meterTime is the time constant of the measured rate: a steady rate counts fully after
	// about three of it.
	meterTime clock.Millis = 300
	// segmentBytes is the payload of a full packet, and segmentOverhead what its headers and the
	// acknowledgement in the other direction take.
	segmentBytes    = 1448
	segmentOverhead = 66
)

// Meter measures how much of the bandwidth of the host's link connections use. It is safe for
// concurrent use.
type Meter struct {
	clock clock.Clock
	// bytesPerMilli is the bandwidth in each direction; 0 if it is not known.
	bytesPerMilli float64

	mu             sync.Mutex
	asOf           clock.Millis
	received, sent float64
}

// NewMeter returns a meter of a link with the given bandwidth in Mbit/s; 0 if that is not known.
func NewMeter(clk clock.Clock, megabits float64) *Meter {
	return &Meter{clock: clk, bytesPerMilli: megabits * 1e6 / 8 / 1000, asOf: clk.Now()}
}

// Utilization returns the part of the bandwidth in use, in the direction that is used more; 0 if
// the bandwidth is not known.
func (m *Meter) Utilization() float64 {
	if m.bytesPerMilli <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	return max(m.received, m.sent) / float64(meterTime) / m.bytesPerMilli
}

// decay reduces the sums according to the time since asOf. The caller must hold m.mu.
func (m *Meter) decay() {
	now := m.clock.Now()
	if now == m.asOf {
		return
	}
	factor := math.Exp(-float64(now-m.asOf) / float64(meterTime))
	m.received, m.sent, m.asOf = m.received*factor, m.sent*factor, now
}

func (m *Meter) count(sum *float64, n int) {
	if n <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	*sum += float64(n) + segmentOverhead*math.Ceil(float64(n)/segmentBytes)
}

// Dial is the function Dial with a connection that is measured.
func (m *Meter) Dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := Dial(ctx, address)
	if err != nil || m.bytesPerMilli <= 0 {
		return raw, err
	}
	return &meteredConn{TCPConn: raw.(*net.TCPConn), meter: m}, nil
}

// Listener returns a listener whose connections are measured.
func (m *Meter) Listener(l net.Listener) net.Listener {
	if m.bytesPerMilli <= 0 {
		return l
	}
	return &meteredListener{Listener: l, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if tcp, ok := raw.(*net.TCPConn); ok && err == nil {
		return &meteredConn{TCPConn: tcp, meter: l.meter}, nil
	}
	return raw, err
}

type meteredConn struct {
	*net.TCPConn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.count(&c.meter.received, n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.meter.count(&c.meter.sent, n)
	return n, err
}
