// Package ratelimit decides whether a request is taken now: limits of organisations that
// hold over all entry hosts, shedding by priority and fair share under overload, and
// retry budgets. It keeps no goroutine and does no I/O; time is an argument, and the
// messages by which members move shares are handed in and out.
package ratelimit
