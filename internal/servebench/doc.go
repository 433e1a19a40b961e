// Package servebench measures what a daemon adds to the responses of the engines: latency,
// processor time and memory under open-loop load, and goodput beyond the capacity of the engines.
// The stand-in and the daemon are separate processes on the loopback interface; this process
// generates the load. The load for latency and goodput runs through the daemon and directly against
// engines of equal size, both at the same time. Processor time and memory are those of the daemon.
package servebench
