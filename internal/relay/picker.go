package relay

import (
	"slices"
	"sync"
	"time"
)

// failureRetention is for how long a peer that could not send a request is asked last.
const failureRetention = time.Second

// Peer is a host that requests may be relayed to.
type Peer struct {
	Name string `json:"name"`
	// Address is its "ip:port" for peers.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
}

// Picker chooses peers. It is safe for concurrent use.
type Picker struct {
	dataCentre string
	mu         sync.Mutex
	// failedAt is when a peer last could not send a request to a fleet.
	failedAt map[peerFleet]time.Time
}

type peerFleet struct{ peer, fleet string }

// NewPicker returns a picker of a host in a data centre.
func NewPicker(dataCentre string) *Picker {
	return &Picker{dataCentre: dataCentre, failedAt: map[peerFleet]time.Time{}}
}

// Pick returns the peer to relay a request for a fleet to; false if there is none. Peers that could not send a
// request lately come last, those of the same data centre before others, and else the random word decides. Peers
// that were asked for this request are left out.
func (p *Picker) Pick(now time.Time, random uint64, fleet string, candidates []Peer, asked []string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best []Peer
	bestRank := 0
	for _, c := range candidates {
		if slices.Contains(asked, c.Name) {
			continue
		}
		rank := p.rank(now, fleet, c)
		if len(best) == 0 || rank < bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return Peer{}, false
	}
	return best[random%uint64(len(best))], true
}

// rank returns the place of a peer in the order of Pick; lower ones come first.
func (p *Picker) rank(now time.Time, fleet string, c Peer) int {
	rank := 0
	if at, failed := p.failedAt[peerFleet{c.Name, fleet}]; failed && now.Sub(at) < failureRetention {
		rank += 2
	}
	if c.DataCentre != p.dataCentre {
		rank++
	}
	return rank
}

// Failed records that a peer could not send a request to a fleet.
func (p *Picker) Failed(now time.Time, peer, fleet string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, at := range p.failedAt {
		if now.Sub(at) >= failureRetention {
			delete(p.failedAt, key)
		}
	}
	p.failedAt[peerFleet{peer, fleet}] = now
}
