// Package ctl is the operators' command-line tool: it checks configurations, applies
// them conditionally, waits until they are in force and shows what the daemons say of
// themselves. It talks HTTP to the operators' listener of any daemon.
package ctl
