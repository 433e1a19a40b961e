package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
)

// The size of a run.
const (
	nodeCount     = 4
	engineCount   = 6
	serviceCount  = 3
	workers       = 24
	dataCentres   = 3
	engineSlots   = 64
	testModel     = "soak-model"
	bookPath      = "/app/book"
	searchPath    = "/app/search"
	organisations = 2
)

// world is one run: platform, endpoints, daemons, and what was seen.
type world struct {
	report        *report
	store         *standin.Store
	configuration *fleet.Configuration
	ledger        *ledger

	rndMu sync.Mutex
	rnd   *rand.Rand

	mu    sync.Mutex
	nodes []*node
	// stopping are daemons that stop gracefully; they hear of hosts until they have.
	stopping  map[*node]bool
	runs      int
	goneNames map[string]bool
	instances map[string]int
	endpoints map[string]*endpoint
}

func newWorld(seed uint64) *world {
	w := &world{
		report:    newReport(),
		store:     standin.NewStore(standin.StoreConfig{}),
		ledger:    &ledger{attempts: map[string]int{}, bodies: map[string]int{}},
		rnd:       rand.New(rand.NewPCG(seed, seed+1)),
		stopping:  map[*node]bool{},
		goneNames: map[string]bool{},
		instances: map[string]int{},
		endpoints: map[string]*endpoint{},
	}
	w.configuration = w.configure()
	for i := range nodeCount {
		w.startNode(i)
	}
	return w
}

// configure declares the endpoints and makes their fakes.
func (w *world) configure() *fleet.Configuration {
	cfg := &fleet.Configuration{
		Generation: 1,
		Fleets: []fleet.Fleet{
			{Name: "llm", Kind: fleet.FleetModel, Models: []string{testModel}, SlotsPerEndpoint: engineSlots},
			{Name: "app", Kind: fleet.FleetService, PathPrefix: "/app/", SlotsPerEndpoint: engineSlots, Calls: []fleet.Call{
				{Method: "POST", Path: bookPath},
				{Method: "POST", Path: searchPath, Idempotent: true},
			}},
		},
		Selectors: []fleet.Selector{{Name: "all", Priority: 5}},
	}
	for i := range organisations {
		cfg.Organisations = append(cfg.Organisations, fleet.Organisation{Name: organisation(i)})
	}
	for i := range dataCentres {
		cfg.DataCentres = append(cfg.DataCentres, fleet.DataCentre{Name: fmt.Sprintf("dc-%d", i)})
	}
	w.addEndpoints(cfg, "llm", engineCount)
	w.addEndpoints(cfg, "app", serviceCount)
	return cfg
}

func (w *world) addEndpoints(cfg *fleet.Configuration, fleetName string, count int) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", fleetName, i)
		host, address := "host-"+name, name+":1"
		cfg.Hosts = append(cfg.Hosts, fleet.Host{Name: host, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Kind: fleet.HostReclaimable})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: name, Host: host, Fleet: fleetName, Address: address})
		w.endpoints[address] = newEndpoint(w, name, host, address)
	}
}

func organisation(i int) string { return fmt.Sprintf("organisation-%d", i) }

// chance draws true with probability p.
func (w *world) chance(p float64) bool {
	w.rndMu.Lock()
	defer w.rndMu.Unlock()
	return w.rnd.Float64() < p
}

func (w *world) below(n uint64) uint64 {
	w.rndMu.Lock()
	defer w.rndMu.Unlock()
	return w.rnd.Uint64N(n)
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.below(uint64(d))) }

func (w *world) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *world) endpointAt(address string) *endpoint { return w.endpoints[address] }

// startNode runs the i-th daemon anew.
func (w *world) startNode(i int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	n := newNode(w, fmt.Sprintf("node-%d", i), w.runs)
	if i < len(w.nodes) {
		w.goneNames[w.nodes[i].writer] = true
		w.nodes[i] = n
		return n
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) nodeList() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.nodes)
}

// listeners are all daemons that hear of hosts.
func (w *world) listeners() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.Clone(w.nodes)
	for n := range w.stopping {
		list = append(list, n)
	}
	return list
}

func (w *world) setStopping(n *node, stopping bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stopping {
		w.stopping[n] = true
		return
	}
	delete(w.stopping, n)
}

func (w *world) anyNode() *node {
	nodes := w.nodeList()
	return nodes[w.below(uint64(len(nodes)))]
}

func (w *world) node(name string) *node {
	for _, n := range w.nodeList() {
		if n.name == name {
			return n
		}
	}
	return nil
}

// owner is who a node takes for the owner of a shard. One in ten views is out of date
// and names another, so that two owners commit at once.
func (w *world) owner(shard int) string {
	i := xxhash.Sum64String(fmt.Sprint("shard", shard)) % nodeCount
	if w.chance(0.1) {
		i = w.below(nodeCount)
	}
	return fmt.Sprintf("node-%d", i)
}

func (w *world) gone(writer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.goneNames[writer]
}
