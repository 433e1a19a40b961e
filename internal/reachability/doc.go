// Package reachability knows which fleets a host's links to endpoints lead to. A host that has lost its links
// while its peers have theirs must not take that for a failure of the endpoints.
//
// An endpoint is heard when bytes of a response arrive. A connection that opens shows nothing: a proxy, a firewall or
// an address translation on the way may have accepted it. Evidence against the links to a fleet are connections that
// do not open, those that end without a byte of a response, and requests without a byte for longer than they
// ever take, while nothing else is heard from the fleet either. A fleet is out of reach once several of its
// endpoints are without a sign. One endpoint never is enough, unless it is the only one and
// connections to it fail, or a probe's ends.
//
// Probes are requests for a health check on connections of their own. They confirm what silence suggests, and find
// out when a link is back: a response on a new connection ends the state. They are few, and a fleet without
// requests gets none.
//
// Silence alone ends no request: the endpoints may all pause. A request that is silent is taken back only if a peer hears
// the fleet meanwhile, which peers are asked for, and if another attempt is left for it.
//
// The package performs no I/O: time, randomness and the outcomes of connections are arguments.
package reachability
