// Package app builds a daemon from its settings. It connects the domain packages to the
// adapters, passes events between them, and starts and stops them in order.
package app
