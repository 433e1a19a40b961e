package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loanDuration is how long a loan lasts.
	loanDuration = 10 * time.Second
	// minKeptShare is the part of its base rate that a member never lends.
	minKeptShare = 0.25
	// demandHeadroom is the rate that a member keeps or requests beyond its demand, as a fraction
	// of the demand.
	demandHeadroom = 0.25
	// maxLentShare is the largest part of its spare rate that a member lends in one grant.
	maxLentShare = 0.5
	// shareRequestThreshold is the utilisation of its share above which a member requests more.
	shareRequestThreshold = 0.9
	// maxPendingRequests bounds the unanswered share requests of one organisation.
	maxPendingRequests = 32
)

// ShareRequest requests from another member a part of its share of an organisation's limit.
type ShareRequest struct {
	// Number identifies a request among those of one member and organisation.
	Number       uint64 `json:"number"`
	From         string `json:"from"`
	Organisation string `json:"organisation"`
	// RequestedRate is in requests per second.
	RequestedRate float64 `json:"wanted"`
}

// ShareGrant moves a part of the sender's share to the requesting member for a limited time. The
// sender reduces its own share before it sends the grant, so that a lost grant can only reduce the
// total.
type ShareGrant struct {
	// Number is that of the ShareRequest.
	Number       uint64  `json:"number"`
	From         string  `json:"from"`
	To           string  `json:"to"`
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	// ValidMillis is measured from when the borrower sent its request. The loan therefore ends at
	// the borrower before the lender uses the share again, even if their clocks differ.
	ValidMillis int64 `json:"valid_ms"`
}

// loan is a rate that is lent until a point in time.
type loan struct {
	rate  float64
	until time.Time
}

// totalRate is the sum of the loans that have not ended.
func totalRate(loans []loan, now time.Time) float64 {
	total := 0.0
	for _, l := range loans {
		if now.Before(l.until) {
			total += l.rate
		}
	}
	return total
}

func (o *organisation) expireLoans(now time.Time) {
	ended := func(l loan) bool { return !now.Before(l.until) }
	o.lent = slices.DeleteFunc(o.lent, ended)
	o.borrowed = slices.DeleteFunc(o.borrowed, ended)
}

// ShareRequests returns the requests that this member sends to a peer in this round: one for each
// organisation with a limit whose demand is close to this member's share or exceeds it, unless
// maxPendingRequests of its requests are unanswered.
func (l *Limiter) ShareRequests(now time.Time) []ShareRequest {
	var requests []ShareRequest
	for _, o := range l.state.Load().organisations {
		if request, ok := o.request(now, l.self); ok {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(x, y ShareRequest) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return requests
}

func (o *organisation) request(now time.Time, self string) (ShareRequest, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit <= 0 {
		return ShareRequest{}, false
	}
	o.refill(now)
	demand := o.demand.rate(now, demandWindow)
	if demand <= shareRequestThreshold*o.rate(now) {
		return ShareRequest{}, false
	}
	o.expireRequests(now)
	if len(o.pendingRequests) >= maxPendingRequests {
		return ShareRequest{}, false
	}
	o.lastNumber++
	o.pendingRequests[o.lastNumber] = now
	requested := demand*(1+demandHeadroom) - o.rate(now)
	return ShareRequest{Number: o.lastNumber, From: self, Organisation: o.name, RequestedRate: requested}, true
}

// expireRequests drops pending requests whose loan would have ended by now.
func (o *organisation) expireRequests(now time.Time) {
	for number, sentAt := range o.pendingRequests {
		if now.Sub(sentAt) >= loanDuration {
			delete(o.pendingRequests, number)
		}
	}
}

// GrantShares lends a peer a part of what this member can spare of the requested rates. It leaves
// out organisations of which it can spare nothing.
func (l *Limiter) GrantShares(now time.Time, requests []ShareRequest) []ShareGrant {
	var grants []ShareGrant
	for _, r := range requests {
		o := l.state.Load().organisations[r.Organisation]
		if o == nil || r.From == l.self {
			continue
		}
		if rate := o.lend(now, r.RequestedRate); rate > 0 {
			grants = append(grants, ShareGrant{
				Number: r.Number, From: l.self, To: r.From, Organisation: r.Organisation,
				Rate: rate, ValidMillis: loanDuration.Milliseconds(),
			})
		}
	}
	return grants
}

// lend lends a part of this member's base rate. Borrowed rate is never lent: it returns to its
// lender before a new loan would end.
func (o *organisation) lend(now time.Time, requested float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit <= 0 {
		return 0
	}
	o.refill(now)
	needed := o.demand.rate(now, demandWindow) * (1 + demandHeadroom)
	spare := o.rate(now) - max(needed, minKeptShare*o.baseRate())
	own := (1-minKeptShare)*o.baseRate() - totalRate(o.lent, now)
	rate := min(maxLentShare*min(spare, own), requested)
	if rate <= 0 {
		return 0
	}
	o.lent = append(o.lent, loan{rate, now.Add(loanDuration)})
	return rate
}

// ApplyGrants applies the grants of peers. It ignores a second grant of the same request, a grant
// that arrives after its loan has ended and a grant to another member.
func (l *Limiter) ApplyGrants(now time.Time, grants []ShareGrant) {
	for _, grant := range grants {
		o := l.state.Load().organisations[grant.Organisation]
		if o != nil && grant.To == l.self {
			o.applyGrant(now, grant)
		}
	}
}

func (o *organisation) applyGrant(now time.Time, grant ShareGrant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sentAt, ok := o.pendingRequests[grant.Number]
	if !ok || grant.Rate <= 0 {
		return
	}
	delete(o.pendingRequests, grant.Number)
	o.refill(now)
	until := sentAt.Add(time.Duration(grant.ValidMillis) * time.Millisecond)
	if now.Before(until) {
		o.borrowed = append(o.borrowed, loan{grant.Rate, until})
	}
}
