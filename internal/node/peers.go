package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/clock"
	"rattanchute/internal/duty"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/peering"
	"rattanchute/internal/quota"
	"rattanchute/internal/usage"
)

const (
	// membersEvery is the time between two looks at the list of hosts; hosts that start
	// make themselves known by their reports.
	membersEvery = 15 * time.Second
	// reportedUsageWindows are told to the peers, so that lost reports do no harm.
	reportedUsageWindows = 3
)

// keepMembership lists this host in the store and learns of the others.
func (n *Node) keepMembership(ctx context.Context) {
	for {
		wait := membersEvery
		if err := n.joinMembers(ctx); err != nil {
			n.called("members", err)
			wait = time.Second
		}
		if !pause(ctx, jittered(wait)) {
			return
		}
	}
}

// joinMembers reads the others' entries. A host that is not listed yet writes its own entry
// first, so that of two that start together at least one sees the other.
func (n *Node) joinMembers(ctx context.Context) error {
	own, listed, err := n.readMembers(ctx)
	if err != nil || listed {
		return err
	}
	if err := n.writeMember(ctx, own); err != nil {
		return err
	}
	_, _, err = n.readMembers(ctx)
	return err
}

// readMembers takes in the others' entries and returns this host's own, and whether it is
// that of this run.
func (n *Node) readMembers(ctx context.Context) (own objectstore.Object, listed bool, err error) {
	own = objectstore.Object{Kind: objectstore.KindMember, Name: n.Settings.Name}
	objects, _, err := n.Store.List(ctx, objectstore.KindMember)
	if err != nil {
		return own, false, err
	}
	now := clock.Now()
	for _, o := range objects {
		var p peering.Peer
		if err := json.Unmarshal(o.Value, &p); err != nil {
			n.malformed.note(n.Log, o.Name, o.Version, err)
			continue
		}
		if o.Name == n.Settings.Name {
			own.Version = o.Version
			listed = p.Incarnation == n.incarnation
			continue
		}
		n.peers.Add(now, p)
	}
	n.countPeers(now)
	return own, listed, nil
}

func (n *Node) writeMember(ctx context.Context, own objectstore.Object) error {
	value, err := json.Marshal(peering.Peer{Name: n.Settings.Name, Incarnation: n.incarnation, Address: n.peerAddress()})
	if err != nil {
		return err
	}
	own.Value = value
	if own.Version == 0 {
		_, err = n.Store.Create(ctx, own.Kind, own.Name, own.Value)
	} else {
		_, err = n.Store.Update(ctx, own)
	}
	if errors.Is(err, objectstore.ErrConflict) {
		// An earlier write of this host took effect late; the next look sees it.
		return nil
	}
	return err
}

// leaveMembership takes this host's entry away, so that the others do not wait for it.
func (n *Node) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	object, err := n.Store.Get(ctx, objectstore.KindMember, n.Settings.Name)
	if err == nil {
		err = n.Store.Delete(ctx, object)
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("member entry not removed")
	}
}

// sendReports tells the peers of this host some times a second.
func (n *Node) sendReports(ctx context.Context) {
	for awaitNews(ctx, jittered(n.peers.Interval()), minReadGap, n.reportNow) {
		now := clock.Now()
		n.countPeers(now)
		n.sendReport(now)
	}
}

// countPeers sets this host's part of what all share.
func (n *Node) countPeers(now time.Time) {
	heard, known := n.peers.Counts(now)
	n.quota.SetPart(now, float64(heard)/float64(known))
	n.repeats.SetHosts(known)
	for name, silence := range n.peers.NewlyLost(now) {
		n.Log.Warn().Str("peer", name).Int64("silent_ms", silence.Milliseconds()).
			Int("heard", heard).Int("known", known).Msg("peer lost")
	}
}

func (n *Node) sendReport(now time.Time) {
	addresses := n.peers.Addresses(now)
	if len(addresses) == 0 {
		return
	}
	datagram, err := peerudp.Encode(n.report(now))
	if err != nil {
		n.Log.Error().Err(err).Msg("report not sent")
		return
	}
	for _, address := range addresses {
		// A lost report is made good by the next.
		if err := n.socket.Send(address, datagram); err != nil && errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (n *Node) report(now time.Time) *peering.Report {
	r := &peering.Report{
		Peer:       peering.Peer{Name: n.Settings.Name, Incarnation: n.incarnation, Address: n.peerAddress()},
		Number:     n.reports.Add(1),
		WallMillis: time.Now().UnixMilli(),
		Leaving:    n.gone.Load(),
		Quota:      n.quota.Statement(now),
		Usage:      n.usage.Own(reportedUsageWindows),
		Loads:      n.placement.Loads(),
		Reads:      n.gateway.Reads(now),
		Demand:     n.gateway.Demand(now),
	}
	n.applyMu.Lock()
	r.ConfigurationVersion = n.appliedVersion
	n.applyMu.Unlock()
	_, r.EndpointsVersion = n.endpoints.Versions()
	if n.lease != nil {
		_, r.HoldsLease = n.lease.Valid(now)
	}
	return r
}

// receiveReports takes in the peers' reports until the socket is closed.
func (n *Node) receiveReports() {
	buffer := make([]byte, peerudp.BufferBytes)
	for {
		r, err := n.socket.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.malformed.note(n.Log, "peer report", 0, err)
			continue
		}
		n.takeReport(r)
	}
}

func (n *Node) takeReport(r *peering.Report) {
	now := clock.Now()
	news, joined := n.peers.Heard(now, r)
	if !news {
		return
	}
	if joined {
		n.Log.Info().Str("peer", r.Name).Int64("incarnation", r.Incarnation).Msg("peer heard")
		n.countPeers(now)
	}
	n.takeVersions(r)
	n.quota.Heard(now, quota.Spender{Name: r.Name, Incarnation: r.Incarnation}, r.Quota)
	n.usage.Heard(usage.Source{Name: r.Name, Incarnation: r.Incarnation}, r.Usage)
	n.trueTime.Heard(now, time.Now(), r.Name, time.UnixMilli(r.WallMillis))
	n.placement.SetRemote(now, r.Name, r.Loads)
	for _, read := range r.Reads {
		n.placement.NoteRead(now, read)
	}
}

// takeVersions has the store read if a peer has seen something newer.
func (n *Node) takeVersions(r *peering.Report) {
	n.applyMu.Lock()
	behind := r.ConfigurationVersion > n.appliedVersion
	n.applyMu.Unlock()
	if behind {
		tell(n.newConfiguration)
	}
	if asOf, _ := n.endpoints.Versions(); r.EndpointsVersion > asOf {
		tell(n.newEndpoints)
	}
}

func (n *Node) planSources() duty.Sources {
	names := make([]string, 0, len(n.Settings.DataCentres))
	for name := range n.Settings.DataCentres {
		names = append(names, name)
	}
	return duty.Sources{
		Configuration: func() *fleet.Configuration {
			t := n.gateway.Table()
			if t == nil {
				return nil
			}
			return t.Configuration()
		},
		Endpoints:   n.endpoints.Known,
		Demand:      n.demand,
		DataCentres: names,
	}
}

// demand is that of all hosts.
func (n *Node) demand(now time.Time) map[string]peering.FleetDemand {
	sum := n.peers.Demand(now)
	for name, d := range n.gateway.Demand(now) {
		sum[name] = sum[name].Add(d)
	}
	return sum
}
