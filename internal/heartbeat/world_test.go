package heartbeat

import (
	"fmt"
	"time"
)

var epoch = time.Unix(1000, 0)

// tick is the time between two steps of a world.
const tick = 50 * time.Millisecond

// world plays hosts that send each other reports and digests.
type world struct {
	now   time.Time
	hosts []*host
	// lost says whether a message from one host to another is lost.
	lost func(from, to *host) bool
	sent int
}

type host struct {
	Peer
	table *Table
	dead  bool
	next  time.Time
	// number is that of its newest message.
	number uint64
}

func newWorld(hosts, dataCentres int) *world {
	w := &world{now: epoch, lost: func(*host, *host) bool { return false }}
	for i := range hosts {
		w.hosts = append(w.hosts, &host{Peer: Peer{
			Name:        fmt.Sprintf("n%02d", i),
			Address:     fmt.Sprintf("n%02d", i),
			DataCentre:  fmt.Sprintf("dc%d", i%dataCentres),
			MemoryBytes: int64(1+i%5/4) << 28,
		}})
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

// start runs a host anew; it finds the others listed.
func (w *world) start(h *host) {
	h.dead = false
	h.Incarnation = w.now.UnixMilli()
	h.number = 0
	h.table = NewTable(w.now, h.Peer)
	for _, other := range w.hosts {
		if other.Incarnation > 0 {
			h.table.Add(w.now, other.Peer)
		}
		if other.table != nil && other != h {
			other.table.Add(w.now, h.Peer)
		}
	}
	h.next = w.now
}

// play lets time pass.
func (w *world) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, h := range w.hosts {
			if h.dead || w.now.Before(h.next) {
				continue
			}
			h.next = w.now.Add(h.table.Interval(w.now))
			w.speak(h)
		}
	}
}

func (w *world) speak(h *host) {
	to := h.table.Recipients(w.now)
	h.number++
	members, gone := h.table.Members(w.now)
	r := &Report{Peer: h.Peer, Number: h.number, Leader: h.table.Leader(w.now), Members: members, Left: gone,
		HoldsLease: h.table.GroupHoldsLease(w.now), IntervalMillis: h.table.Interval(w.now).Milliseconds()}
	for _, other := range w.reached(h, to.Reports) {
		other.table.HandleReport(w.now, r)
	}
	heard, all := h.table.HostCounts(w.now)
	d := &Digest{Peer: h.Peer, Number: h.number, Heard: heard, Known: all, IntervalMillis: r.IntervalMillis}
	for _, other := range w.reached(h, to.Digests) {
		other.table.HandleDigest(w.now, d)
	}
}

func (w *world) reached(from *host, addresses []string) []*host {
	w.sent += len(addresses)
	var out []*host
	for _, address := range addresses {
		for _, h := range w.hosts {
			if h.Address == address && !h.dead && !w.lost(from, h) {
				out = append(out, h)
			}
		}
	}
	return out
}

func (w *world) living() []*host {
	var out []*host
	for _, h := range w.hosts {
		if !h.dead {
			out = append(out, h)
		}
	}
	return out
}

// leads are the hosts that follow nobody, by data centre.
func (w *world) leads() map[string][]*host {
	out := map[string][]*host{}
	for _, h := range w.living() {
		if h.table.IsLeader(w.now) {
			out[h.DataCentre] = append(out[h.DataCentre], h)
		}
	}
	return out
}

// gathered describes why the living hosts do not all hear each other through one lead in
// each data centre; empty if they do.
func (w *world) gathered() string {
	for dataCentre, leads := range w.leads() {
		if len(w.living()) > maxDirect && len(leads) != 1 {
			return fmt.Sprintf("%d leads in %s", len(leads), dataCentre)
		}
	}
	for _, h := range w.living() {
		heard, all := h.table.HostCounts(w.now)
		if heard != len(w.living()) || all < heard {
			return fmt.Sprintf("%s hears %d of %d known, %d live", h.Name, heard, all, len(w.living()))
		}
	}
	return ""
}
