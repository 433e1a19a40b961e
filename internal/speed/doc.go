// Package speed estimates how much longer than usual the work of an endpoint takes, for endpoints that state it in
// their responses. It keeps two parts apart: the lasting slowness of an endpoint, which is learnt from how long its
// work took, and the slowness of the moment, which the endpoint states and which is worth something only for a time.
// How long that time is differs between fleets and is learnt from the statements themselves (Persistence).
//
// It also picks endpoints at random in proportion to their speed (Weights), so that many hosts that hear the same good
// news do not all send to the same endpoint, and defines what hosts tell each other (Report).
//
// The package performs no I/O; time and randomness are arguments. Its types are not safe for concurrent use, apart
// from messages.
package speed
