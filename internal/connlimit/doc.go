// Package connlimit decides which connections of a listener are closed while there are too many: those that wait for a
// request that does not come, before those with one. A Table holds a listener's connections, takes the time as an
// argument and does no I/O but by the functions that it is given.
package connlimit
