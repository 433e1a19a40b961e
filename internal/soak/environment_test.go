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

// environment holds the components of one run: object store, endpoints, daemons and the report.
type environment struct {
	report        *report
	store         *standin.Store
	configuration *fleet.Configuration
	ledger        *ledger

	rndMu sync.Mutex
	rnd   *rand.Rand

	mu    sync.Mutex
	nodes []*node
	// stopping holds the daemons that are stopping gracefully; they receive host states until they
	// have stopped.
	stopping map[*node]bool
	runs     int
	// goneNames holds the writers that count as ended and the hosts that are being reclaimed.
	goneNames map[string]bool
	instances map[string]int
	endpoints map[string]*endpoint
}

func newEnvironment(seed uint64) *environment {
	env := &environment{
		report:    newReport(),
		store:     standin.NewStore(standin.StoreConfig{}),
		ledger:    &ledger{attempts: map[string]int{}, bodies: map[string]int{}},
		rnd:       rand.New(rand.NewPCG(seed, seed+1)),
		stopping:  map[*node]bool{},
		goneNames: map[string]bool{},
		instances: map[string]int{},
		endpoints: map[string]*endpoint{},
	}
	env.configuration = env.configure()
	for i := range nodeCount {
		env.startNode(i)
	}
	return env
}

// configure declares the endpoints in the configuration and creates their fakes.
func (env *environment) configure() *fleet.Configuration {
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
	env.addEndpoints(cfg, "llm", engineCount)
	env.addEndpoints(cfg, "app", serviceCount)
	return cfg
}

func (env *environment) addEndpoints(cfg *fleet.Configuration, fleetName string, count int) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", fleetName, i)
		host, address := "host-"+name, name+":1"
		cfg.Hosts = append(cfg.Hosts, fleet.Host{
			Name: host, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Kind: fleet.HostReclaimable,
		})
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{Name: name, Host: host, Fleet: fleetName, Address: address})
		env.endpoints[address] = newEndpoint(env, name, host, address)
	}
}

func organisation(i int) string { return fmt.Sprintf("organisation-%d", i) }

// randBool returns true with probability p.
func (env *environment) randBool(p float64) bool {
	env.rndMu.Lock()
	defer env.rndMu.Unlock()
	return env.rnd.Float64() < p
}

func (env *environment) randN(n uint64) uint64 {
	env.rndMu.Lock()
	defer env.rndMu.Unlock()
	return env.rnd.Uint64N(n)
}

func (env *environment) randDuration(d time.Duration) time.Duration {
	return time.Duration(env.randN(uint64(d)))
}

func (env *environment) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (env *environment) endpointAt(address string) *endpoint { return env.endpoints[address] }

// startNode starts a new run of the i-th daemon; the writer of its previous run counts as ended.
func (env *environment) startNode(i int) *node {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.runs++
	n := newNode(env, fmt.Sprintf("node-%d", i), env.runs)
	if i < len(env.nodes) {
		env.goneNames[env.nodes[i].writer] = true
		env.nodes[i] = n
		return n
	}
	env.nodes = append(env.nodes, n)
	return n
}

func (env *environment) nodeList() []*node {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.nodes)
}

// listeners returns all daemons that receive host states.
func (env *environment) listeners() []*node {
	env.mu.Lock()
	defer env.mu.Unlock()
	list := slices.Clone(env.nodes)
	for n := range env.stopping {
		list = append(list, n)
	}
	return list
}

func (env *environment) setStopping(n *node, stopping bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if stopping {
		env.stopping[n] = true
		return
	}
	delete(env.stopping, n)
}

func (env *environment) anyNode() *node {
	nodes := env.nodeList()
	return nodes[env.randN(uint64(len(nodes)))]
}

func (env *environment) node(name string) *node {
	for _, n := range env.nodeList() {
		if n.name == name {
			return n
		}
	}
	return nil
}

// owner returns the node that a node considers the owner of a shard. One in ten answers names a
// random node, as an outdated view would, so that two owners may commit at the same time.
func (env *environment) owner(shard int) string {
	i := xxhash.Sum64String(fmt.Sprint("shard", shard)) % nodeCount
	if env.randBool(0.1) {
		i = env.randN(nodeCount)
	}
	return fmt.Sprintf("node-%d", i)
}

func (env *environment) writerGone(writer string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.goneNames[writer]
}
