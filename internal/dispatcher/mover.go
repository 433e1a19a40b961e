package dispatcher

import (
	"context"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/reclaim"
)

// MoveRates are the rates and limits from which moves off a leaving host are planned.
type MoveRates struct {
	// TokenInterval is the time in which an engine generates one token of a stream.
	TokenInterval time.Duration
	// TransferTokensPerSecond is the rate at which one host can send KV cache, shared by all
	// daemons.
	TransferTokensPerSecond float64
	// MaxTransfers is the number of KV transfers that one daemon runs in parallel for the
	// streams of one organisation and fleet on a host.
	MaxTransfers int
	// Margin is the time kept free before the host's deadline.
	Margin time.Duration
	// TransferTimeout bounds one KV transfer.
	TransferTimeout time.Duration
}

// DefaultMoveRates returns fixed rates that fit the engines currently in use.
func DefaultMoveRates() MoveRates {
	return MoveRates{
		TokenInterval:           46 * time.Millisecond,
		TransferTokensPerSecond: 50000,
		MaxTransfers:            4,
		Margin:                  2 * time.Second,
		TransferTimeout:         20 * time.Second,
	}
}

// defaultNotice is the notice assumed for a host that leaves without an announced deadline.
const defaultNotice = 10 * time.Second

// noticeBatchDelay is how long a notice is held back so that others issued together with it arrive.
// Without it, a stream could be planned onto a host whose own notice arrives a moment later.
const noticeBatchDelay = 100 * time.Millisecond

// HostLeaving moves this daemon's streams off a host that is being reclaimed. It returns at once;
// the steps run in the background, each at its planned time.
func (s *Service) HostLeaving(state fleet.HostState) {
	time.AfterFunc(noticeBatchDelay, func() { s.moveOff(state) })
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
		share = max(share, s.ownShare(now, e.Name))
		for _, c := range s.streams.at(e.Name) {
			g := moveGroup{organisation: c.req.Organisation, fleet: c.query.Fleet, version: e.Version}
			byGroup[g] = append(byGroup[g], c)
		}
	}
	for g, streams := range byGroup {
		part := float64(len(streams)) / float64(countStreams(byGroup))
		s.moveGroup(now, deadline, g, streams, share*part)
	}
}

// ownShare returns this daemon's share of an endpoint's requests, and so of the KV bandwidth of its
// host.
func (s *Service) ownShare(now time.Time, endpoint string) float64 {
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

// moveGroup identifies streams that may move to the same remaining endpoints.
type moveGroup struct {
	organisation string
	fleet        string
	// version is that of the endpoints that they leave.
	version string
}

func (s *Service) moveGroup(now, deadline time.Time, g moveGroup, streams []*ChatStream, share float64) {
	snapshot := reclaim.Snapshot{
		Now:      now,
		Deadline: deadline,
		Targets:  s.moveTargets(now, g),
		Rates: reclaim.Rates{
			TokenInterval:           s.moveRates.TokenInterval,
			TransferTokensPerSecond: s.moveRates.TransferTokensPerSecond * share,
			ParallelTransfers:       s.moveRates.MaxTransfers,
			Margin:                  s.moveRates.Margin,
		},
	}
	for i, c := range streams {
		snapshot.Streams = append(snapshot.Streams, c.progress.reclaimStream(i))
	}
	for _, step := range reclaim.Plan(snapshot) {
		s.scheduleStep(step, streams[step.Stream])
	}
}

func (s *Service) moveTargets(now time.Time, g moveGroup) []reclaim.Target {
	var list []reclaim.Target
	for _, r := range s.router.FreeCapacity(now, g.organisation, g.fleet) {
		if e, ok := s.router.Table().Endpoint(r.Endpoint); ok && e.Version == g.version {
			list = append(list, reclaim.Target(r))
		}
	}
	return list
}

// scheduleStep schedules one step at its planned time. A stream that finishes in place is only
// counted.
func (s *Service) scheduleStep(step reclaim.Step, c *ChatStream) {
	if step.Strategy == reclaim.Finish {
		s.metrics.Moves.WithLabelValues(string(reclaim.Finish)).Inc()
		return
	}
	from := c.progress.currentLocation()
	time.AfterFunc(time.Until(step.Start), func() {
		s.pool.Submit(func() { s.move(step, c, from) })
	})
}

// move transfers the KV cache if that is planned, and then sends the stream its target. After a
// failed transfer the target recomputes the cache; the stream is not lost.
func (s *Service) move(step reclaim.Step, c *ChatStream, from location) {
	if c.ctx.Err() != nil {
		return
	}
	strategy := step.Strategy
	target, ok := s.router.Table().Endpoint(step.Target)
	if strategy == reclaim.Transfer && ok {
		if err := s.transfer(c.ctx, from, target); err != nil {
			strategy = reclaim.Recompute
		}
	}
	s.metrics.Moves.WithLabelValues(string(strategy)).Inc()
	c.offerMove(Move{From: from.endpoint.Name, Target: target})
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

// location is the endpoint that generates a stream, and the stream's id there.
type location struct {
	endpoint fleet.Endpoint
	stream   engine.StreamID
}
