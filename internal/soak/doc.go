// Package soak runs the serving code of several daemons in one process against fakes at
// its ports, with faults drawn from a seed, and checks the promises against the
// endpoints' own ledgers.
package soak
