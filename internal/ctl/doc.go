// Package ctl implements the operators' command-line tool. It validates configurations,
// applies them conditionally, waits until they are in force and shows the state of the
// daemons. It sends HTTP requests to the operators' listener of any daemon. The trace command
// reads log files instead.
package ctl
