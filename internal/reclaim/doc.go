// Package reclaim plans what happens to the streams on a host that the cloud provider is about
// to reclaim. A plan is a pure function of a snapshot. It determines which streams finish in
// place, which move with their KV cache and when, and which are recomputed elsewhere from their
// text, spread over time so that the target endpoints are not overloaded. Package dispatcher
// carries out the plan.
package reclaim
