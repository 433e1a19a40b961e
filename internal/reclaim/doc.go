// Package reclaim plans what becomes of the streams on a host that is taken back. A
// plan is a pure function of a snapshot: which streams finish where they are, which
// move with their KV cache and when, and which go on elsewhere from their text, paced
// so that the survivors are not overrun. The plan is carried out by package dispatcher.
package reclaim
