// Package origin remembers where the streams of callers began: at which fleet, and at which version of its
// endpoints' software. What two versions write does not fit together, so a stream may continue only where it
// began. A caller may resume a stream at any host, after the one that served it has gone. So hosts tell each
// other of each stream that begins, in messages that may be lost, repeated or out of order.
//
// Of a stream that a host knows nothing of, it can say where it began only if its fleet has had one version for
// longer than streams last.
//
// The package performs no I/O: time and messages are arguments.
package origin
