package capacitybench

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"rattanchute/internal/adapter/peerhttp"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/gossip/gossiptest"
	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

const (
	settleTimeout = time.Minute
	settleDelay   = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
	// dataCentresPerCluster is the number of data centres over which the daemons of a loopback
	// cluster are distributed in turn.
	dataCentresPerCluster = 4
)

var benchSecret = peerhttp.Secret("capacity bench secret")

// cluster runs the control part of several daemons in this process. They communicate over HTTP on
// the loopback interface.
type cluster struct {
	store *gossiptest.Store
	bytes atomic.Int64
	// benchCalls counts the platform calls made by the benchmark itself.
	benchCalls atomic.Int64
	daemons    []*daemon
	started    int
}

type daemon struct {
	server  *peerhttp.Server
	runner  *gossip.Runner
	address string
}

func newCluster(nodes int) (*cluster, error) {
	c := &cluster{store: gossiptest.NewStore()}
	for range nodes {
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	return c, c.settle()
}

func (c *cluster) start() error {
	server, err := peerhttp.NewServer(benchSecret, nil, peerhttp.Options{Bodies: bodybudget.New(bodyBytes, 0)})
	if err != nil {
		return err
	}
	client, err := peerhttp.NewClient(benchSecret, nil)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("capacity bench: %w", err)
	}
	i := c.started
	c.started++
	var seeds []string
	for _, d := range c.daemons[:min(3, len(c.daemons))] {
		seeds = append(seeds, d.address)
	}
	runner := gossip.NewRunner(gossip.RunnerSettings{
		Machine: gossip.Settings{
			Self: membership.Member{
				Name:        fmt.Sprintf("node-%03d", i),
				Address:     l.Addr().String(),
				DataCentre:  dataCentreName(i % dataCentresPerCluster),
				Incarnation: uint64(time.Now().UnixMilli()),
			},
			Seeds: seeds,
		},
		Transport: peerhttp.Transport{Client: client},
		Store:     c.store,
	})
	server.Handle(peerhttp.PathGossip, peerhttp.GossipHandler(runner.HandleMessage))
	go func() { _ = server.Serve(countingListener{l, &c.bytes}) }()
	runner.Start()
	c.daemons = append(c.daemons, &daemon{server, runner, l.Addr().String()})
	return nil
}

// replace shuts the oldest daemon down and starts another one under a new name.
func (c *cluster) replace() error {
	d := c.daemons[0]
	c.daemons = c.daemons[1:]
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	err := d.runner.Leave(ctx)
	_ = d.server.Shutdown(ctx)
	if err != nil {
		return err
	}
	return c.start()
}

func (c *cluster) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for _, d := range c.daemons {
		d.runner.Stop()
		_ = d.server.Shutdown(ctx)
	}
}

// settle waits until every daemon knows all others, and then for settleDelay, so that the traffic
// caused by the start ends.
func (c *cluster) settle() error {
	err := c.waitFor("all members known", func(d *daemon) bool {
		return len(d.runner.Members()) == len(c.daemons)
	})
	time.Sleep(settleDelay)
	return err
}

func (c *cluster) waitFor(what string, condition func(*daemon) bool) error {
	deadline := time.Now().Add(settleTimeout)
	for _, d := range c.daemons {
		for !condition(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("capacity bench: timed out waiting for: %s", what)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// applyConfiguration stores a configuration and waits until every daemon has applied it or a later
// one.
func (c *cluster) applyConfiguration(g fleet.Generation, text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	c.benchCalls.Add(2)
	o := objectstore.Object{Kind: objectstore.KindConfiguration, Name: "current", Value: storedConfiguration(g, text)}
	if old, err := c.store.Get(ctx, o.Kind, o.Name); err == nil {
		o.Version = old.Version
	}
	if _, err := c.store.Update(ctx, o); err != nil {
		return fmt.Errorf("capacity bench: %w", err)
	}
	return c.waitFor("configuration in force", func(d *daemon) bool {
		have, _ := d.runner.Configuration()
		return have >= g
	})
}

// reportHostState reports the state of a host to the first daemon.
func (c *cluster) reportHostState(host string, phase fleet.Phase) {
	c.daemons[0].runner.ObserveHostState(fleet.HostState{Host: host, Instance: "a", Phase: phase})
}

// usage is the mean resource usage of one node of a cluster in a window.
type usage struct {
	// bytesPerSecond includes the bytes that the node sends and those that it receives.
	bytesPerSecond float64
	// core is the processor usage as a fraction of one core.
	core           float64
	callsPerSecond float64
	// seconds is the actual length of the window.
	seconds float64
}

// measure applies a load for the duration of a window and returns the mean resource usage of one
// node.
func (c *cluster) measure(window time.Duration, load func(elapsed time.Duration) error) (usage, error) {
	const step = 100 * time.Millisecond
	bytes, cpu, calls, start := c.bytes.Load(), processorTime(), c.calls(), time.Now()
	for elapsed := time.Duration(0); elapsed < window; elapsed = time.Since(start) {
		if err := load(elapsed); err != nil {
			return usage{}, err
		}
		time.Sleep(step)
	}
	elapsed := time.Since(start).Seconds()
	seconds := elapsed * float64(len(c.daemons))
	return usage{
		seconds:        elapsed,
		bytesPerSecond: 2 * float64(c.bytes.Load()-bytes) / seconds,
		core:           (processorTime() - cpu).Seconds() / seconds,
		callsPerSecond: float64(c.calls()-calls) / seconds,
	}, nil
}

// calls returns the number of platform calls that the daemons have made.
func (c *cluster) calls() int64 { return c.store.Calls.Load() - c.benchCalls.Load() }

func noLoad(time.Duration) error { return nil }
