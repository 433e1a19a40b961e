// Package request tracks the state of one request: its attempts, the offsets of the chunks that
// were delivered, and the outcome that may be reported to the caller. A Stream or a Call takes the
// messages of endpoints as arguments and returns what to do next; it does no I/O. Invariant
// violations are reported through package invariant.
package request
