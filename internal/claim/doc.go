// Package claim gives at-most-once execution of calls that carry an Idempotency-Key,
// without a replicated store of its own. Before such a call is dispatched, a claim
// that names one attempt is written to the platform's object service by conditional
// update; only the attempt named in the stored claim may dispatch, once.
//
// The key space is cut into shards, one platform object each. Every shard has an owner
// among the live members, to which other members forward claims, so that many claims
// share one write. Ownership only saves writes: any number of members may write the
// same shard at once, and the conditional update keeps the result correct.
//
// Shard is the decision core: it applies a group of operations to a stored value,
// without I/O and with the time as an argument. Service runs it against a
// platform.Store.
package claim
