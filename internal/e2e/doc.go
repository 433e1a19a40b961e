// Package e2e holds end-to-end tests with daemons that run as separate processes.
package e2e
