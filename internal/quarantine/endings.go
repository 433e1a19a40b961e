package quarantine

import (
	"slices"
	"time"
)

const (
	// endingRetention is how long after the end of an attempt a crash of its endpoint may still show that the
	// attempt was in progress at it.
	endingRetention = time.Second
	// maxEndings bounds the remembered endings.
	maxEndings = 256
)

// ending is the end of an attempt that may have been in progress at a crash: its response ended with its
// connection, or it was given up.
type ending struct {
	attempt
	at time.Time
	// abandoned is set if the attempt was given up, so that nothing clears its request.
	abandoned bool
}

// endings are the last such endings, the earliest first.
type endings struct{ list []ending }

func (s *endings) add(e ending) {
	s.list = slices.DeleteFunc(s.list, func(old ending) bool { return e.at.Sub(old.at) >= endingRetention })
	s.list = append(s.list, e)
	s.list = s.list[max(len(s.list)-maxEndings, 0):]
}

// take removes the endings of an endpoint and returns those that are not too old.
func (s *endings) take(now time.Time, endpoint string) []ending {
	return s.takeIf(func(e ending) bool { return e.endpoint == endpoint && now.Sub(e.at) < endingRetention })
}

// takeBefore removes and returns the endings of an endpoint that answers a request that was sent after
// them, soon enough for it to be the same run.
func (s *endings) takeBefore(now time.Time, endpoint string, sentAt time.Time) []ending {
	return s.takeIf(func(e ending) bool {
		return e.endpoint == endpoint && e.at.Before(sentAt) && now.Sub(e.at) < survivalWindow
	})
}

func (s *endings) takeIf(match func(ending) bool) []ending {
	var taken []ending
	s.list = slices.DeleteFunc(s.list, func(e ending) bool {
		if !match(e) {
			return false
		}
		taken = append(taken, e)
		return true
	})
	return taken
}
