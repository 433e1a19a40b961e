// Package servebench measures what a daemon adds to the engines' answers: latency,
// processor time and memory under open-loop load, and goodput past the capacity of the
// engines. The stand-in and the daemon are processes of their own on the loopback
// interface; this process is the load. Each measurement runs once through the daemon
// and once straight to engines of equal size, both at the same time.
package servebench
