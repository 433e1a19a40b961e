package dispatcher

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const registryShards = 32

// streamRegistry holds the streams that have a running attempt, by its endpoint.
type streamRegistry struct {
	shards [registryShards]streamRegistryShard
}

type streamRegistryShard struct {
	mu      sync.Mutex
	streams map[string]map[*ChatStream]struct{}
}

func newStreamRegistry() *streamRegistry {
	r := &streamRegistry{}
	for i := range r.shards {
		r.shards[i].streams = make(map[string]map[*ChatStream]struct{})
	}
	return r
}

func (r *streamRegistry) shard(endpoint string) *streamRegistryShard {
	return &r.shards[xxhash.Sum64String(endpoint)%registryShards]
}

func (r *streamRegistry) add(endpoint string, c *ChatStream) {
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

func (r *streamRegistry) remove(endpoint string, c *ChatStream) {
	sh := r.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.streams[endpoint], c)
	if len(sh.streams[endpoint]) == 0 {
		delete(sh.streams, endpoint)
	}
}

// at returns the streams whose running attempt is at an endpoint.
func (r *streamRegistry) at(endpoint string) []*ChatStream {
	sh := r.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := make([]*ChatStream, 0, len(sh.streams[endpoint]))
	for c := range sh.streams[endpoint] {
		list = append(list, c)
	}
	return list
}

// count returns the number of streams that have a running attempt.
func (r *streamRegistry) count() int {
	n := 0
	for i := range r.shards {
		n += r.shards[i].count()
	}
	return n
}

func (sh *streamRegistryShard) count() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for _, set := range sh.streams {
		n += len(set)
	}
	return n
}
