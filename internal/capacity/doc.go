// Package capacity plans which hosts to start, drain and stop, and which model weights to load,
// so that each fleet serves its demand within the latency target at a low price, even after the
// loss that Settings.Tolerance names. A plan is a pure function of a snapshot of the platform and
// the cloud and of a small State, which is kept in a platform object. Losing the State only
// delays a scale-in or repeats a start that was refused before. PlanEndpointCounts is a simpler
// plan: it decides only how many endpoints of a fleet each data centre should have.
package capacity
