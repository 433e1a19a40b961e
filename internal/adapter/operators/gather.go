package operators

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"rattanchute/internal/ctl/api"
)

const (
	// maxConcurrentFetches bounds how many daemons are queried at the same time.
	maxConcurrentFetches = 32
	// fetchTimeout bounds the query of one daemon.
	fetchTimeout = 2 * time.Second
)

// StatusFunc fetches the status of one daemon.
type StatusFunc func(ctx context.Context, m api.Member) (api.Status, error)

// Gather fetches the status of all members that are not dead. It sets the status of each
// member, or the problem that prevented it, in members, and returns members.
func Gather(ctx context.Context, members []api.Member, fetch StatusFunc) []api.Member {
	pool := pond.NewPool(maxConcurrentFetches)
	for i := range members {
		m := &members[i]
		if m.State == api.MemberDead {
			m.Problem = "dead"
			continue
		}
		pool.Submit(func() { fetchStatus(ctx, m, fetch) })
	}
	pool.StopAndWait()
	return members
}

func fetchStatus(ctx context.Context, m *api.Member, fetch StatusFunc) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	status, err := fetch(fetchCtx, *m)
	if err != nil {
		m.Problem = err.Error()
		return
	}
	m.Status = &status
}
