package fleet

import (
	"fmt"
	"slices"

	"rattanchute/internal/findings/jsonc"
)

func (v *validator) checkSelectors() {
	all := jsonc.Path{}.Key("selectors")
	names := uniqueNames{doc: v.doc, what: "selector"}
	for i, s := range v.c.Selectors {
		at := all.Item(i)
		names.add(at.Key("name"), s.Name)
		v.checkRequirements(at.Key("organisations"), s.Organisations)
		v.checkRequirements(at.Key("endpoints"), s.Endpoints)
		v.checkRequirements(at.Key("hosts"), s.Hosts)
		checkNotEmptied(v.doc, at.Key("data_centres"), s.DataCentres)
		for j, dc := range s.DataCentres {
			v.checkDataCentre(at.Key("data_centres").Item(j), dc)
		}
		v.doc.CheckInt(at.Key("priority"), int64(s.Priority), 0, maxPriority)
		v.checkSelectorMatches(at, s)
	}
}

// checkNotEmptied reports an empty list. A selector without the list allows everything; one whose last item was taken away
// must not.
func checkNotEmptied[T any](doc *jsonc.Document, p jsonc.Path, list []T) {
	if list != nil && len(list) == 0 {
		doc.Add(p, p.LastKey()+" is an empty list", "accepted is at least one item; a selector without the key allows all")
	}
}

func (v *validator) checkRequirements(p jsonc.Path, requirements []Requirement) {
	checkNotEmptied(v.doc, p, requirements)
	for i, r := range requirements {
		at := p.Item(i)
		if !labelKey.MatchString(r.Label) {
			v.doc.Add(at.Key("label"), fmt.Sprintf("label is %q", r.Label), acceptedLabelKey)
		}
		v.checkOperator(at, r)
	}
}

func (v *validator) checkOperator(at jsonc.Path, r Requirement) {
	switch r.Op {
	case OpIn, OpNotIn:
		if len(r.Values) == 0 {
			v.doc.Add(at.Key("values"), fmt.Sprintf("operator %q has no values", r.Op), "accepted is at least one value")
		}
		for i, value := range r.Values {
			v.checkLabelValue(at.Key("values").Item(i), value)
		}
	case OpExists, OpAbsent:
		if len(r.Values) > 0 {
			v.doc.Add(at.Key("values"), fmt.Sprintf("operator %q has values", r.Op), "accepted are values with in and not-in only")
		}
	default:
		v.doc.Add(at.Key("op"), fmt.Sprintf("operator is %q", r.Op), `accepted are "in", "not-in", "exists" and "absent"`)
	}
}

// checkSelectorMatches reports selectors that match no declared organisation or no declared
// endpoint.
func (v *validator) checkSelectorMatches(at jsonc.Path, s Selector) {
	if !slices.ContainsFunc(v.c.Organisations, s.AllowsOrganisation) {
		message := fmt.Sprintf("selector %q matches no organisation", s.Name)
		v.doc.Add(at.Key("organisations"), message, "accepted are requirements that a declared organisation's labels meet")
	}
	reachable := func(e Endpoint) bool {
		host, declared := v.hosts[e.Host]
		return declared && s.AllowsEndpoint(e, host)
	}
	if !slices.ContainsFunc(v.c.Endpoints, reachable) {
		message := fmt.Sprintf("selector %q matches no endpoint", s.Name)
		v.doc.Add(at.Key("endpoints"), message, "accepted are endpoints, hosts and data_centres that together leave a declared endpoint")
	}
}
