// Package e2e tests the whole path with daemons that run as processes of their own.
package e2e
