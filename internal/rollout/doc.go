// Package rollout moves the requests of a fleet to endpoints of another software version, or back. It decides which
// requests a host sends to which version (Table), what responses say about the new version (evidence), and which step
// comes next (Decide). It performs no I/O. docs/design/rollouts.md describes it.
package rollout
