// Package route selects the endpoint that serves a request. A Table is compiled once from each
// accepted configuration and is immutable; a Router adds the state that changes between
// configurations: host phases, load, prompt caches and ejections. The package starts no
// goroutines and does no I/O; time and randomness are arguments.
//
// Package dispatcher uses it to choose endpoints. Package proxy uses only the Table, to match
// routes, and chooses endpoints with package balancer.
package route
