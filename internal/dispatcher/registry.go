package dispatcher

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const registryShards = 32

// registry knows the open streams by the endpoint that makes them.
type registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu      sync.Mutex
	streams map[string]map[*ChatStream]struct{}
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].streams = make(map[string]map[*ChatStream]struct{})
	}
	return r
}

func (r *registry) shard(endpoint string) *registryShard {
	return &r.shards[xxhash.Sum64String(endpoint)%registryShards]
}

func (r *registry) add(endpoint string, c *ChatStream) {
	sh := r.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	set := sh.streams[endpoint]
	if set == nil {
		set = make(map[*ChatStream]struct{})
		sh.streams[endpoint] = set
	}
	set[c] = struct{}{}
}

func (r *registry) remove(endpoint string, c *ChatStream) {
	sh := r.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.streams[endpoint], c)
	if len(sh.streams[endpoint]) == 0 {
		delete(sh.streams, endpoint)
	}
}

// at returns the streams now made by an endpoint.
func (r *registry) at(endpoint string) []*ChatStream {
	sh := r.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := make([]*ChatStream, 0, len(sh.streams[endpoint]))
	for c := range sh.streams[endpoint] {
		list = append(list, c)
	}
	return list
}

// count is the number of open streams.
func (r *registry) count() int {
	n := 0
	for i := range r.shards {
		n += r.shards[i].count()
	}
	return n
}

func (sh *registryShard) count() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for _, set := range sh.streams {
		n += len(set)
	}
	return n
}
