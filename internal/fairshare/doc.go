// Package fairshare shares the room of a fleet between organisations while it is short. Room is of three kinds: slots
// of endpoints, the rate at which they compute prompts, and KV memory. Each host measures the demand of its callers
// by fleet and organisation, learns that of all hosts from reports and digests, and works out how much of its demand
// each organisation is granted: all of it up to the fair level (max-min fairness over the kinds that are short), and
// a part of it above. So an organisation uses what others leave idle, and those below the level are never refused
// here. Requests above the share are refused at once, the least urgent ones of the organisation first.
//
// A fleet is short while its endpoints are nearly full and are asked for more than they can do. At all other times,
// and with fewer than two organisations, every request is granted.
//
// The package does no I/O: time, randomness, the state of the endpoints and messages are passed in. See
// docs/design/fair-shares.md.
package fairshare
