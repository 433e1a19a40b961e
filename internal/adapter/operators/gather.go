package operators

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"rattanchute/internal/ctl/api"
)

const (
	// maxParallelAsks bounds how many daemons are asked at once.
	maxParallelAsks = 32
	// askTimeout bounds the wait for one daemon.
	askTimeout = 2 * time.Second
)

// StatusFunc asks one daemon for its status.
type StatusFunc func(ctx context.Context, m api.Member) (api.Status, error)

// Gather asks all members that are not dead and returns them with their answers.
func Gather(ctx context.Context, members []api.Member, ask StatusFunc) []api.Member {
	pool := pond.NewPool(maxParallelAsks)
	for i := range members {
		m := &members[i]
		if m.State == api.MemberDead {
			m.Problem = "dead"
			continue
		}
		pool.Submit(func() { askOne(ctx, m, ask) })
	}
	pool.StopAndWait()
	return members
}

func askOne(ctx context.Context, m *api.Member, ask StatusFunc) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, err := ask(bounded, *m)
	if err != nil {
		m.Problem = err.Error()
		return
	}
	m.Status = &status
}
