// Package route decides which endpoint answers a request. A Table is compiled once
// from each accepted configuration and never changes; a Router adds what changes
// between configurations: host phases, load, prompt caches and ejections. It keeps no
// goroutine and does no I/O; time and randomness are arguments.
package route
