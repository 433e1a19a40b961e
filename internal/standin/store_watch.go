package standin

import (
	"context"
	"fmt"
	"sort"
	"time"

	"rattanchute/internal/objectstore"
)

// Watch waits for changes of a kind after a version, for at most StoreConfig.WatchWaitMillis. It
// returns them and the version from which the next watch continues.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	return s.WatchFor(ctx, kind, after, millis(s.config.WatchWaitMillis))
}

// WatchFor is like Watch with an explicit maximum wait. It returns no changes and no error if
// there are none in that time.
func (s *Store) WatchFor(ctx context.Context, kind objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	if err := s.begin(ctx, VerbWatch); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, version, changed := s.changesSince(kind, after), s.version, s.changed
		compacted, outage := after < s.compacted || after > s.version, s.faults.Outage
		s.mu.Unlock()
		switch {
		case outage:
			return nil, after, objectstore.ErrUnavailable
		case compacted:
			return nil, after, objectstore.ErrCompacted
		case len(events) > 0 || wait <= 0:
			return events, max(version, after), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(version, after), nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", objectstore.ErrUnavailable, ctx.Err())
		}
	}
}

// changesSince returns the changes of a kind in the history that are newer than a version.
func (s *Store) changesSince(kind objectstore.Kind, after objectstore.Version) []objectstore.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > after })
	var events []objectstore.Event
	for _, c := range s.history[first:] {
		if c.event.Object.Kind == kind {
			events = append(events, c.event)
		}
	}
	return events
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// sleep waits for d and reports whether it waited the whole time.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
