// Package operators serves the operators' HTTP interface of a daemon: configuration,
// status, members, explain, drain, audit, metrics, health and readiness. It translates
// between HTTP and a Backend and decides nothing itself.
package operators
