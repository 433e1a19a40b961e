package capacitybench

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"rattanchute/internal/adapter/peerhttp"
	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip"
	"rattanchute/internal/gossip/gossiptest"
	"rattanchute/internal/membership"
	"rattanchute/internal/objectstore"
)

const (
	settleTimeout = time.Minute
	settleTime    = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
	// centresPerCluster is the number of data centres of a loopback cluster.
	centresPerCluster = 4
)

var benchSecret = peerhttp.Secret("capacity bench secret")

// cluster is a set of daemons' control parts in this process, over HTTP on loopback.
type cluster struct {
	store *gossiptest.Store
	bytes atomic.Int64
	// ownCalls are the platform calls that the bench itself makes.
	ownCalls atomic.Int64
	daemons  []*daemon
	started  int
}

type daemon struct {
	server *peerhttp.Server
	runner *gossip.Runner
	addr   string
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
	server, err := peerhttp.NewServer(benchSecret, nil)
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
		seeds = append(seeds, d.addr)
	}
	runner := gossip.NewRunner(gossip.RunnerSettings{
		Machine: gossip.Settings{
			Self: membership.Member{
				Name:        fmt.Sprintf("node-%03d", i),
				Address:     l.Addr().String(),
				DataCentre:  centreName(i % centresPerCluster),
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

// replace ends one daemon and starts another.
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

// settle waits until every daemon knows every other and what the start caused is over.
func (c *cluster) settle() error {
	err := c.until("all members known", func(d *daemon) bool {
		return len(d.runner.Members()) == len(c.daemons)
	})
	time.Sleep(settleTime)
	return err
}

func (c *cluster) until(what string, condition func(*daemon) bool) error {
	deadline := time.Now().Add(settleTimeout)
	for _, d := range c.daemons {
		for !condition(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("capacity bench: never: %s", what)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// accept stores a configuration and waits until it is in force everywhere.
func (c *cluster) accept(g fleet.Generation, text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	c.ownCalls.Add(2)
	o := objectstore.Object{Kind: objectstore.KindConfiguration, Name: "current", Value: storedConfiguration(g, text)}
	if old, err := c.store.Get(ctx, o.Kind, o.Name); err == nil {
		o.Version = old.Version
	}
	if _, err := c.store.Update(ctx, o); err != nil {
		return fmt.Errorf("capacity bench: %w", err)
	}
	return c.until("configuration in force", func(d *daemon) bool {
		have, _ := d.runner.Configuration()
		return have >= g
	})
}

// notice makes a host known through the first daemon.
func (c *cluster) notice(host string, phase fleet.Phase) {
	c.daemons[0].runner.ObserveHostState(fleet.HostState{Host: host, Instance: "a", Phase: phase})
}

// usage is what a cluster used in a window, for one node.
type usage struct {
	// bytesPerSecond counts what the node sends and what it receives.
	bytesPerSecond float64
	core           float64
	callsPerSecond float64
	seconds        float64
}

// measure runs a load for a window and returns what one node used.
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

// calls returns the platform calls that the daemons have made.
func (c *cluster) calls() int64 { return c.store.Calls.Load() - c.ownCalls.Load() }

func idle(time.Duration) error { return nil }
