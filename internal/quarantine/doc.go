// Package quarantine finds out which requests, and which parts of prompts, crash endpoints, and decides
// whether a request may be sent.
//
// When an endpoint closes the connections of its requests before their responses are complete, it may have
// crashed, and any of them may be the reason: the request as a whole, which its caller may repeat, or a part
// of its prompt, which other requests may have too. What a later response is complete for is not the reason.
// So the reason is among what was in progress at several crashes and in no complete response since. A request
// is suspected rather than the parts of its prompt as long as no other request with them has been in progress
// at a crash. Parts that cannot be told apart are quarantined together: a request is refused only if it has
// all of them, and a request with some of them soon tells which it is.
//
// A quarantined request is refused until it may be probed. Then one host sends one such request: a complete
// response ends the quarantine, a crash prolongs it.
//
// Hosts share what they observe and what they have quarantined, in messages that may be lost, repeated or
// out of order. All of it is merged so that the order does not matter.
//
// The package performs no I/O: time and messages are arguments.
package quarantine
