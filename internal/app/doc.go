// Package app builds one daemon from its settings: it connects the domain packages to
// the adapters, passes events between them, and starts and stops them in order.
package app
