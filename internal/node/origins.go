package node

import "time"

const (
	// originsReportedIntervals is the number of messages that repeat where a stream began: messages may be lost.
	originsReportedIntervals = 3
	// originsMaxEndpointsAge is the age up to which the list of endpoints shows all versions. A host that is
	// cut off from the store does not know the newest.
	originsMaxEndpointsAge = 2500 * time.Millisecond
)

// originsSince returns the time after which streams must have begun to be reported.
func (n *Node) originsSince(now time.Time) time.Time {
	return now.Add(-originsReportedIntervals * n.peers.Interval(now))
}

// onlyVersion returns the version at which all streams of a fleet began that callers may still resume; false
// if there may be several.
func (n *Node) onlyVersion(now time.Time, fleet string) (string, bool) {
	if now.Sub(n.endpoints.ConfirmedAt()) > originsMaxEndpointsAge {
		return "", false
	}
	return n.origins.OnlyVersion(now, fleet)
}
