package fleet

import (
	"fmt"

	"rattanchute/internal/findings/jsonc"
)

// The largest valid numbers in a configuration.
const (
	maxPriceMilli        = 1_000_000_000
	maxRequestsPerSecond = 1_000_000
	maxBurst             = 1_000_000
	maxWeight            = 1_000
	maxSlots             = 4_096
	maxPriority          = 9
)

// validator checks what decoding alone cannot: references, uniqueness and ranges.
type validator struct {
	doc         *jsonc.Document
	c           *Configuration
	dataCentres map[string]bool
	hosts       map[string]Host
	fleets      map[string]bool
}

func newValidator(doc *jsonc.Document, c *Configuration) *validator {
	return &validator{
		doc:         doc,
		c:           c,
		dataCentres: map[string]bool{},
		hosts:       map[string]Host{},
		fleets:      map[string]bool{},
	}
}

func (v *validator) validate() {
	v.checkDataCentres()
	v.checkHosts()
	v.checkOrganisations()
	v.checkFleets()
	v.checkEndpoints()
	v.checkSelectors()
}

func (v *validator) checkDataCentres() {
	all := jsonc.Path{}.Key("data_centres")
	names := uniqueNames{doc: v.doc, what: "data centre"}
	for i, dc := range v.c.DataCentres {
		at := all.Item(i)
		names.add(at.Key("name"), dc.Name)
		v.checkName(at.Key("region"), dc.Region)
		v.dataCentres[dc.Name] = true
	}
}

func (v *validator) checkHosts() {
	all := jsonc.Path{}.Key("hosts")
	names := uniqueNames{doc: v.doc, what: "host"}
	for i, h := range v.c.Hosts {
		at := all.Item(i)
		names.add(at.Key("name"), h.Name)
		v.checkName(at.Key("class"), h.Class)
		v.checkDataCentre(at.Key("data_centre"), h.DataCentre)
		v.checkHostKind(at.Key("kind"), h.Kind)
		v.doc.CheckInt(at.Key("price_per_hour_milli"), h.PricePerHour, 0, maxPriceMilli)
		v.checkLabels(at.Key("labels"), h.Labels)
		v.hosts[h.Name] = h
	}
}

func (v *validator) checkDataCentre(p jsonc.Path, name string) {
	if !v.dataCentres[name] {
		v.doc.Add(p, fmt.Sprintf("data centre %q is not declared", name), "accepted is a name under data_centres")
	}
}

func (v *validator) checkHostKind(p jsonc.Path, kind HostKind) {
	if kind != HostReclaimable && kind != HostOnDemand {
		v.doc.Add(p, fmt.Sprintf("host kind is %q", kind), `accepted are "reclaimable" and "on-demand"`)
	}
}

func (v *validator) checkOrganisations() {
	all := jsonc.Path{}.Key("organisations")
	names := uniqueNames{doc: v.doc, what: "organisation"}
	keys := uniqueNames{doc: v.doc, what: "key"}
	for i, o := range v.c.Organisations {
		at := all.Item(i)
		names.add(at.Key("name"), o.Name)
		v.checkKeyHashes(at.Key("key_sha256"), o.KeyHashes, &keys)
		v.checkLabels(at.Key("labels"), o.Labels)
		v.doc.CheckFloat(at.Key("requests_per_second"), o.RequestsPerSecond, 0, maxRequestsPerSecond)
		v.checkBurst(at.Key("burst"), o)
		v.doc.CheckFloat(at.Key("weight"), o.Weight, 0, maxWeight)
	}
}

func (v *validator) checkKeyHashes(p jsonc.Path, hashes []string, keys *uniqueNames) {
	if len(hashes) == 0 {
		v.doc.Add(p, "the organisation has no key", "accepted is at least one SHA-256 digest")
	}
	for i, hash := range hashes {
		if !IsKeyHash(hash) {
			v.doc.Add(p.Item(i), "not a key digest", "accepted are 64 lower-case hex digits, the SHA-256 of a key")
			continue
		}
		keys.addOnly(p.Item(i), hash)
	}
}

func (v *validator) checkBurst(p jsonc.Path, o Organisation) {
	least := int64(0)
	if o.RequestsPerSecond > 0 {
		least = 1
	}
	v.doc.CheckInt(p, int64(o.Burst), least, maxBurst)
}

func (v *validator) checkEndpoints() {
	all := jsonc.Path{}.Key("endpoints")
	names := uniqueNames{doc: v.doc, what: "endpoint"}
	addresses := uniqueNames{doc: v.doc, what: "address"}
	for i, e := range v.c.Endpoints {
		at := all.Item(i)
		names.add(at.Key("name"), e.Name)
		if _, declared := v.hosts[e.Host]; !declared {
			v.doc.Add(at.Key("host"), fmt.Sprintf("host %q is not declared", e.Host), "accepted is a name under hosts")
		}
		if !v.fleets[e.Fleet] {
			v.doc.Add(at.Key("fleet"), fmt.Sprintf("fleet %q is not declared", e.Fleet), "accepted is a name under fleets")
		}
		v.checkAddress(at.Key("address"), e.Address, &addresses)
		v.checkLabels(at.Key("labels"), e.Labels)
	}
}
