package route

import (
	"time"

	"rattanchute/internal/fleet"
)

// Reason is why an endpoint was or was not chosen.
type Reason string

// The reasons.
const (
	ReasonNoSelector      Reason = "no-selector"
	ReasonWrongDataCentre Reason = "wrong-data-centre"
	ReasonLeaving         Reason = "leaving"
	ReasonEjected         Reason = "ejected"
	ReasonExcluded        Reason = "excluded"
	ReasonOverLoad        Reason = "over-bounded-load"
	ReasonNotDrawn        Reason = "not-drawn"
	ReasonOutweighed      Reason = "outweighed"
	ReasonChosen          Reason = "chosen"
)

// Explanation describes how a query would be decided now.
type Explanation struct {
	Choice Choice `json:"choice"`
	// Error is the reason why there is no choice; it is empty if there is one.
	Error     string             `json:"error,omitempty"`
	MeanLoad  float64            `json:"mean_load"`
	Endpoints []EndpointDecision `json:"endpoints"`
}

// EndpointDecision is the outcome of a decision for one endpoint of the fleet.
type EndpointDecision struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	Priority   int    `json:"priority"`
	Reason     Reason `json:"reason"`
	// ExpectedFirstToken, Load and CachedTokens are set only for endpoints that were evaluated.
	ExpectedFirstToken time.Duration `json:"expected_first_token_ns"`
	Load               float64       `json:"load"`
	CachedTokens       int           `json:"cached_tokens"`
	PricePerHour       int64         `json:"price_per_hour_milli"`
}

// trace records what a decision looked at. A nil trace records nothing.
type trace struct {
	options   map[int]option
	overBound map[int]bool
}

func (t *trace) evaluated(o option) {
	if t != nil {
		t.options[o.index] = o
	}
}

func (t *trace) markOverBound(index int) {
	if t != nil {
		t.overBound[index] = true
	}
}

// Explain runs the same decision as Choose but records no request; the only state that it
// updates is the mean load. Its random choices are one of many possible draws.
func (r *Router) Explain(now time.Time, q Query) Explanation {
	v := r.view.Load()
	list := v.lists[listKey{q.Organisation, q.Fleet}]
	if list == nil {
		return Explanation{Error: ErrNoSelector.Error(), Endpoints: v.refusals(q)}
	}
	t := &trace{options: make(map[int]option), overBound: make(map[int]bool)}
	d := r.decision(now, mix(uint64(now.UnixNano())), &q, list)
	d.trace = t
	best := d.decide()
	explanation := Explanation{MeanLoad: d.mean, Endpoints: v.refusals(q)}
	for index := range list.targets {
		explanation.Endpoints = append(explanation.Endpoints, d.explainOne(index, best.index))
	}
	if best.index < 0 {
		explanation.Error = ErrNoEndpoint.Error()
		return explanation
	}
	explanation.Choice = d.choice(best)
	return explanation
}

func (d *decision) explainOne(index, chosen int) EndpointDecision {
	t := d.list.targets[index]
	result := EndpointDecision{
		Endpoint:     t.info.endpoint.Name,
		DataCentre:   t.info.host.DataCentre,
		Priority:     d.list.priority[index],
		Reason:       d.reason(index, chosen),
		PricePerHour: t.info.host.PricePerHour,
	}
	if o, ok := d.trace.options[index]; ok {
		result.ExpectedFirstToken = o.expected
		result.Load = o.load
		result.CachedTokens = d.cached(t.info.hash)
	}
	return result
}

func (d *decision) reason(index, chosen int) Reason {
	t := d.list.targets[index]
	_, evaluated := d.trace.options[index]
	switch {
	case index == chosen:
		return ReasonChosen
	case !t.host.usable.Load():
		return ReasonLeaving
	case t.state.ejected(d.now):
		return ReasonEjected
	case t.excluded(d.query.Exclude):
		return ReasonExcluded
	case d.trace.overBound[index]:
		return ReasonOverLoad
	case evaluated:
		return ReasonOutweighed
	default:
		return ReasonNotDrawn
	}
}

// refusals lists the endpoints of the fleet that no selector lets the organisation reach.
func (v *view) refusals(q Query) []EndpointDecision {
	var refused []EndpointDecision
	selectors := v.table.selectorsOf(q.Organisation)
	for _, t := range v.targets {
		if t.info.endpoint.Fleet != q.Fleet {
			continue
		}
		_, result := evaluateAccess(selectors, t.info)
		if result == accessAllowed {
			continue
		}
		refused = append(refused, EndpointDecision{
			Endpoint:     t.info.endpoint.Name,
			DataCentre:   t.info.host.DataCentre,
			Reason:       result.reason(),
			PricePerHour: t.info.host.PricePerHour,
		})
	}
	return refused
}

func (a access) reason() Reason {
	if a == accessWrongDataCentre {
		return ReasonWrongDataCentre
	}
	return ReasonNoSelector
}

func (t *Table) selectorsOf(organisation string) []fleet.Selector {
	for _, candidate := range t.configuration.Organisations {
		if candidate.Name == organisation {
			return selectorsFor(t.configuration.Selectors, candidate)
		}
	}
	return nil
}
