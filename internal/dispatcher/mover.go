package dispatcher

import (
	"context"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/reclaim"
)

// MoveRates are the speeds that moves off a leaving host count on.
type MoveRates struct {
	// TokenInterval is the time an engine takes for one token of a stream.
	TokenInterval time.Duration
	// TransferTokensPerSecond is the KV bandwidth out of one host, over all daemons.
	TransferTokensPerSecond float64
	// MaxTransfers is the number of KV transfers that one daemon runs at once for a host.
	MaxTransfers int
	// Margin is kept free before the host's deadline.
	Margin time.Duration
	// TransferTimeout bounds one KV transfer.
	TransferTimeout time.Duration
}

// DefaultMoveRates returns the rates for the engines of today.
func DefaultMoveRates() MoveRates {
	return MoveRates{
		TokenInterval:           46 * time.Millisecond,
		TransferTokensPerSecond: 50000,
		MaxTransfers:            4,
		Margin:                  2 * time.Second,
		TransferTimeout:         20 * time.Second,
	}
}

// defaultNotice is assumed for a host that leaves without an announced deadline.
const defaultNotice = 10 * time.Second

// noticeBatch is how long a notice waits for others that come with it, so that no stream
// is planned onto a host whose own notice is a moment behind.
const noticeBatch = 100 * time.Millisecond

// HostLeaving moves this daemon's streams off a host that is taken back. It returns at
// once; the steps run in the background, each at its planned time.
func (s *Service) HostLeaving(state fleet.HostState) {
	time.AfterFunc(noticeBatch, func() { s.moveOff(state) })
}

func (s *Service) moveOff(state fleet.HostState) {
	now := s.now()
	deadline := state.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultNotice)
	}
	share := 0.0
	byGroup := make(map[moveGroup][]*ChatStream)
	for _, e := range s.router.Table().EndpointsOn(state.Host) {
		share = max(share, s.shareOf(now, e.Name))
		for _, c := range s.streams.at(e.Name) {
			g := moveGroup{organisation: c.ask.Organisation, fleet: c.query.Fleet}
			byGroup[g] = append(byGroup[g], c)
		}
	}
	for g, streams := range byGroup {
		part := float64(len(streams)) / float64(countStreams(byGroup))
		s.moveGroup(now, deadline, g, streams, share*part)
	}
}

// shareOf is the part of an endpoint's requests, and so of its host's KV bandwidth, that
// is this daemon's.
func (s *Service) shareOf(now time.Time, endpoint string) float64 {
	all, own := s.router.InFlight(now, endpoint)
	return float64(own) / float64(max(all, 1))
}

func countStreams(groups map[moveGroup][]*ChatStream) int {
	n := 0
	for _, streams := range groups {
		n += len(streams)
	}
	return n
}

// moveGroup are streams that may go to the same survivors.
type moveGroup struct {
	organisation string
	fleet        string
}

func (s *Service) moveGroup(now, deadline time.Time, g moveGroup, streams []*ChatStream, share float64) {
	snapshot := reclaim.Snapshot{
		Now:      now,
		Deadline: deadline,
		Targets:  s.survivors(now, g),
		Rates: reclaim.Rates{
			TokenInterval:           s.moveRates.TokenInterval,
			TransferTokensPerSecond: s.moveRates.TransferTokensPerSecond * share,
			ParallelTransfers:       s.moveRates.MaxTransfers,
			Margin:                  s.moveRates.Margin,
		},
	}
	for i, c := range streams {
		snapshot.Streams = append(snapshot.Streams, c.progress.describe(i))
	}
	for _, step := range reclaim.Plan(snapshot) {
		s.carryOut(step, streams[step.Stream])
	}
}

func (s *Service) survivors(now time.Time, g moveGroup) []reclaim.Target {
	var list []reclaim.Target
	for _, r := range s.router.FreeCapacity(now, g.organisation, g.fleet) {
		list = append(list, reclaim.Target(r))
	}
	return list
}

// carryOut starts one step at its time.
func (s *Service) carryOut(step reclaim.Step, c *ChatStream) {
	if step.Strategy == reclaim.Finish {
		s.counters.Moves.WithLabelValues(string(reclaim.Finish)).Inc()
		return
	}
	from := c.progress.endpoint()
	time.AfterFunc(time.Until(step.Start), func() {
		s.pool.Submit(func() { s.move(step, c, from) })
	})
}

// move transfers the KV cache where planned, and then hands the stream its target. A
// failed transfer costs the computation, not the stream.
func (s *Service) move(step reclaim.Step, c *ChatStream, from location) {
	if c.ctx.Err() != nil {
		return
	}
	way := step.Strategy
	target, ok := s.router.Table().Endpoint(step.Target)
	if way == reclaim.Transfer && ok {
		if err := s.transfer(c.ctx, from, target); err != nil {
			way = reclaim.Recompute
		}
	}
	s.counters.Moves.WithLabelValues(string(way)).Inc()
	c.offer(Move{From: from.endpoint.Name, Target: target})
}

// transfer copies a stream's KV cache to the target engine.
func (s *Service) transfer(ctx context.Context, from location, target fleet.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, s.moveRates.TransferTimeout)
	defer cancel()
	blob, err := s.engines.ExportKV(ctx, from.endpoint.Address, from.stream)
	if err != nil {
		return err
	}
	return s.engines.ImportKV(ctx, target.Address, blob)
}

// location is where a stream is being made.
type location struct {
	endpoint fleet.Endpoint
	stream   engine.StreamID
}
