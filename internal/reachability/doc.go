// Package reachability knows which fleets a host's links to endpoints lead to. A host that has lost its links
// while its peers have theirs must not take that for a failure of the endpoints.
//
// A fleet is out of reach once several of its endpoints could not be reached, and none was heard since. A fleet
// from which nothing is heard while requests wait is tested with new connections. While a fleet is out of reach,
// connections to its endpoints in turn find out when a link is back.
//
// The package performs no I/O: time and the outcomes of connections are arguments.
package reachability
