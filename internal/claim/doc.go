// Package claim provides at-most-once execution of calls that carry an Idempotency-Key, without a
// replicated store of its own. Before such a call is dispatched, a claim that names one attempt is
// written to the platform's object service with a conditional update. Only the attempt named in the
// stored claim may be dispatched, and only once.
//
// The key space is divided into shards, one platform object each. Every shard has an owner among
// the live members, and other members forward their claims to it, so that many claims share one
// write. Ownership only reduces the number of writes: any number of members may write the same
// shard concurrently, and the conditional update keeps the result correct.
//
// The value of a shard holds a record for each recent claim, and a fingerprint of the key for older
// ones. A shard that has grown beyond a threshold is sealed: its completed claims and its
// fingerprints move to a segment, a separate object that never changes and that the value of the
// shard refers to. Old segments are merged into one that holds only fingerprints.
//
// Shard holds the decision logic: it applies a group of operations to a stored value without I/O
// and with the time as an argument. Service runs it against an objectstore.Store.
package claim
