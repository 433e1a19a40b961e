// Package operators is the HTTP server for operators of a daemon: configuration, status,
// members, explain, drain, audit, metrics, health and readiness. It authenticates operators
// and translates between HTTP and a Backend.
package operators
