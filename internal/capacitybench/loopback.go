package capacitybench

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"rattanchute/internal/adapter/peerhttp"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/fleet"
)

// bodyBytes is the memory that a daemon's messages may take.
const bodyBytes = 64 << 20

// loopbackNodeCounts are the sizes of the loopback clusters.
var loopbackNodeCounts = []int{3, 9, 18, 37}

// slopeClusterNodes is the size of the cluster with which the slopes against changes are measured.
const slopeClusterNodes = 9

// loopback holds the lines measured over HTTP on the loopback interface, each for one node.
type loopback struct {
	bytesByNodes    Line
	coreByNodes     Line
	callsByNodes    Line
	memoryByNodes   Line
	bytesByChanges  Line
	coreByChanges   Line
	callsByChanges  Line
	bytesByHosts    Line
	bytesByRestarts Line
	callsByRestarts Line
}

func measureLoopback(window time.Duration) (loopback, error) {
	var out loopback
	if err := out.measureByNodes(window); err != nil {
		return out, err
	}
	if err := out.measureByChanges(window); err != nil {
		return out, err
	}
	if err := out.measureByHosts(window); err != nil {
		return out, err
	}
	return out, out.measureByRestarts(window)
}

func (b *loopback) measureByNodes(window time.Duration) error {
	var bytes, core, calls, memory []Point
	for _, nodes := range loopbackNodeCounts {
		before := heapBytes()
		c, err := newCluster(nodes)
		if err != nil {
			return err
		}
		u, err := c.measure(window, noLoad)
		x := float64(nodes)
		memory = append(memory, Point{x, (heapBytes() - before) / x})
		c.stop()
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{x, u.bytesPerSecond})
		core = append(core, Point{x, u.core})
		calls = append(calls, Point{x, u.callsPerSecond})
	}
	b.bytesByNodes = Fit("bytes a second, idle", "B/s", "nodes", bytes)
	b.coreByNodes = Fit("processor, idle", "core", "nodes", core)
	b.callsByNodes = Fit("platform calls, idle", "calls/s", "nodes", calls)
	b.memoryByNodes = Fit("heap, idle", "B", "nodes", memory)
	return nil
}

func (b *loopback) measureByChanges(window time.Duration) error {
	texts := [][]byte{configurationText(planHosts, 0), configurationText(planHosts, 1)}
	generation := fleet.Generation(0)
	usages, err := measureAtRates([]float64{0, 0.5, 1, 2}, window, func(c *cluster) error {
		generation++
		return c.applyConfiguration(generation, texts[int(generation)%len(texts)])
	})
	if err != nil {
		return err
	}
	b.bytesByChanges = Fit("bytes a second", "B/s", "configuration changes a second", usages.bytes)
	b.coreByChanges = Fit("processor", "core", "configuration changes a second", usages.core)
	b.callsByChanges = Fit("platform calls", "calls/s", "configuration changes a second", usages.calls)
	return nil
}

func (b *loopback) measureByHosts(window time.Duration) error {
	host := 0
	usages, err := measureAtRates([]float64{0, 2, 5, 10}, window, func(c *cluster) error {
		host++
		c.reportHostState(fmt.Sprintf("host-%04d", host), fleet.PhaseLeaving)
		return nil
	})
	b.bytesByHosts = Fit("bytes a second", "B/s", "hosts that leave a second", usages.bytes)
	return err
}

func (b *loopback) measureByRestarts(window time.Duration) error {
	usages, err := measureAtRates([]float64{0, 0.2, 0.5, 1}, window, (*cluster).replace)
	b.bytesByRestarts = Fit("bytes a second", "B/s", "restarts a second", usages.bytes)
	b.callsByRestarts = Fit("platform calls", "calls/s", "restarts a second", usages.calls)
	return err
}

type usages struct {
	bytes, core, calls []Point
}

// measureAtRates measures a cluster while an action is repeated, at several rates. The x values of
// the points are the actual rates.
func measureAtRates(rates []float64, window time.Duration, action func(*cluster) error) (usages, error) {
	var out usages
	for _, rate := range rates {
		c, err := newCluster(slopeClusterNodes)
		if err != nil {
			return out, err
		}
		done := 0
		u, err := c.measure(window, func(elapsed time.Duration) error {
			for float64(done) < elapsed.Seconds()*rate {
				done++
				if err := action(c); err != nil {
					return err
				}
			}
			return nil
		})
		c.stop()
		if err != nil {
			return out, err
		}
		x := float64(done) / u.seconds
		out.bytes = append(out.bytes, Point{x, u.bytesPerSecond})
		out.core = append(out.core, Point{x, u.core})
		out.calls = append(out.calls, Point{x, u.callsPerSecond})
	}
	return out, nil
}

// requestCost is the cost of one HTTP request with its response.
type requestCost struct {
	// bytes is the number of bytes in both directions, without TCP/IP headers.
	bytes float64
	// core is the processor time of client and server together, in seconds.
	core float64
}

// measureRequest returns the cost of one request between peers. The bytes are those of the headers;
// the bodies are not counted.
func measureRequest() (requestCost, error) {
	const requests, bodyBytes = 5000, 300
	server, err := peerhttp.NewServer(benchSecret, nil, peerhttp.Options{Bodies: bodybudget.New(bodyBytes, 0)})
	if err != nil {
		return requestCost{}, err
	}
	client, err := peerhttp.NewClient(benchSecret, nil)
	if err != nil {
		return requestCost{}, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return requestCost{}, fmt.Errorf("capacity bench: %w", err)
	}
	var bytes atomic.Int64
	server.Handle("/peer/v1/echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	go func() { _ = server.Serve(countingListener{l, &bytes}) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	body := []byte(strings.Repeat("x", bodyBytes))
	cpu := processorTime()
	for range requests {
		if _, err := client.PostBytes(context.Background(), l.Addr().String(), "/peer/v1/echo", body); err != nil {
			return requestCost{}, err
		}
	}
	return requestCost{
		bytes: float64(bytes.Load())/requests - 2*bodyBytes,
		core:  (processorTime() - cpu).Seconds() / requests,
	}, nil
}
