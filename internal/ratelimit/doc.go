// Package ratelimit performs admission control. It enforces the rate limits of organisations across
// all entry hosts, sheds load by priority and weighted fair share when a fleet is overloaded, and
// bounds retries with retry budgets. It starts no goroutine and does no I/O: the time is an
// argument, and the messages that move shares between members are arguments and results.
//
// It serves the daemon's own chat and call interface (packages app and dispatcher). The pass-through
// interface (packages node and proxy) uses packages quota, loadshed and retrybudget instead.
package ratelimit
