// Package request holds the life of one request: its attempts, the offsets of what
// has been delivered, and what may be said of its outcome. A Stream or a Call takes
// the messages of the endpoints as arguments and answers what to do next; it does no
// I/O. Breaches of an invariant are reported through package invariant.
package request
