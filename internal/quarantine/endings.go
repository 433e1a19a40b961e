package quarantine

import (
	"slices"
	"time"
)

const (
	// endingRetention is how long after a response that ended with its connection a crash of its endpoint may
	// still show that it was cut off.
	endingRetention = time.Second
	// maxEndings bounds the remembered endings.
	maxEndings = 256
)

// ending is a response that ended with its connection.
type ending struct {
	endpoint string
	prompt   Prompt
	at       time.Time
}

// endings are the last responses that ended with their connections, the earliest first.
type endings struct{ list []ending }

func (s *endings) add(now time.Time, endpoint string, p Prompt) {
	s.list = slices.DeleteFunc(s.list, func(e ending) bool { return now.Sub(e.at) >= endingRetention })
	s.list = append(s.list, ending{endpoint, p, now})
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
