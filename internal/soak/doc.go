// Package soak runs the request-serving code of several daemons in one process against fakes of its
// external interfaces, with faults drawn from a seed, and checks the system's guarantees against
// the endpoints' own records.
package soak
