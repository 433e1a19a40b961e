package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loanTime is how long a moved share stays moved.
	loanTime = 10 * time.Second
	// keptShare of its base a member never lends.
	keptShare = 0.25
	// headroom is the part of its demand that a lender keeps above it.
	headroom = 0.25
	// lentShare of what it can spare a member lends to one asker.
	lentShare = 0.5
	// askAbove: a member asks for more when its demand is above this part of its share.
	askAbove = 0.9
	// maxOffers bounds the offers of one organisation that wait for an answer.
	maxOffers = 32
)

// ShareRequest asks another member for a part of its share of an organisation's limit.
type ShareRequest struct {
	// Number tells offers of one member and organisation apart.
	Number       uint64 `json:"number"`
	From         string `json:"from"`
	Organisation string `json:"organisation"`
	// Wanted is in requests a second.
	Wanted float64 `json:"wanted"`
}

// ShareGrant moves a part of the sender's share to the asker for a while. The sender
// has gone without it since before it sent the grant; a lost grant only loses share.
type ShareGrant struct {
	// Number is the offer's.
	Number       uint64  `json:"number"`
	From         string  `json:"from"`
	To           string  `json:"to"`
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	// ValidMillis counts from when the asker made its offer, so that the loan has
	// ended there before the lender uses the share again, whatever their clocks show.
	ValidMillis int64 `json:"valid_ms"`
}

// loan is a share moved until a moment.
type loan struct {
	rate  float64
	until time.Time
}

func sum(loans []loan, now time.Time) float64 {
	total := 0.0
	for _, l := range loans {
		if now.Before(l.until) {
			total += l.rate
		}
	}
	return total
}

func (o *organisation) expire(now time.Time) {
	ended := func(l loan) bool { return !now.Before(l.until) }
	o.lent = slices.DeleteFunc(o.lent, ended)
	o.held = slices.DeleteFunc(o.held, ended)
}

// ShareRequests are what this member asks of a peer in this round of the exchange.
func (a *Limiter) ShareRequests(now time.Time) []ShareRequest {
	var offers []ShareRequest
	for _, o := range a.state.Load().organisations {
		if offer, ok := o.offer(now, a.self); ok {
			offers = append(offers, offer)
		}
	}
	slices.SortFunc(offers, func(x, y ShareRequest) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return offers
}

func (o *organisation) offer(now time.Time, self string) (ShareRequest, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit <= 0 {
		return ShareRequest{}, false
	}
	o.refill(now)
	demand := o.demand.rate(now, demandWindow)
	if demand <= askAbove*o.rate(now) {
		return ShareRequest{}, false
	}
	o.dropOffers(now)
	if len(o.offered) >= maxOffers {
		return ShareRequest{}, false
	}
	o.offers++
	o.offered[o.offers] = now
	wanted := demand*(1+headroom) - o.rate(now)
	return ShareRequest{Number: o.offers, From: self, Organisation: o.name, Wanted: wanted}, true
}

// dropOffers forgets offers whose loan would have ended.
func (o *organisation) dropOffers(now time.Time) {
	for number, made := range o.offered {
		if now.Sub(made) >= loanTime {
			delete(o.offered, number)
		}
	}
}

// GrantShares lends a peer what this member can spare of what it asks for.
func (a *Limiter) GrantShares(now time.Time, offers []ShareRequest) []ShareGrant {
	var grants []ShareGrant
	for _, offer := range offers {
		o := a.state.Load().organisations[offer.Organisation]
		if o == nil || offer.From == a.self {
			continue
		}
		if rate := o.lend(now, offer.Wanted); rate > 0 {
			grants = append(grants, ShareGrant{
				Number: offer.Number, From: a.self, To: offer.From, Organisation: offer.Organisation,
				Rate: rate, ValidMillis: loanTime.Milliseconds(),
			})
		}
	}
	return grants
}

// lend takes a loan off this member's own base; what it has borrowed it never lends on.
func (o *organisation) lend(now time.Time, wanted float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit <= 0 {
		return 0
	}
	o.refill(now)
	needed := o.demand.rate(now, demandWindow) * (1 + headroom)
	spare := o.rate(now) - max(needed, keptShare*o.base())
	own := (1-keptShare)*o.base() - sum(o.lent, now)
	rate := min(lentShare*min(spare, own), wanted)
	if rate <= 0 {
		return 0
	}
	o.lent = append(o.lent, loan{rate, now.Add(loanTime)})
	return rate
}

// ApplyGrants takes in grants; a second one of the same offer, or one too late, changes nothing.
func (a *Limiter) ApplyGrants(now time.Time, grants []ShareGrant) {
	for _, grant := range grants {
		o := a.state.Load().organisations[grant.Organisation]
		if o != nil && grant.To == a.self {
			o.borrow(now, grant)
		}
	}
}

func (o *organisation) borrow(now time.Time, grant ShareGrant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	made, ok := o.offered[grant.Number]
	if !ok || grant.Rate <= 0 {
		return
	}
	delete(o.offered, grant.Number)
	o.refill(now)
	until := made.Add(time.Duration(grant.ValidMillis) * time.Millisecond)
	if now.Before(until) {
		o.held = append(o.held, loan{grant.Rate, until})
	}
}
