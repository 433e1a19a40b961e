// Package bodybudget decides which request bodies may be held in memory. A Budget is the one owner of a process's memory for
// bodies: each body reserves what it takes before it takes it, whichever listener it comes from. While the budget is short,
// bodies that have come to a halt make room for others.
//
// The decisions take the time as an argument and do no I/O. What to do with an evicted body, and how to wait for its end, is
// up to the caller; Acquire does so for most.
package bodybudget
