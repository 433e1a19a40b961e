package soak

import (
	"fmt"
	"sort"
	"sync"
	"testing"
)

// faultKind names a kind of fault that a run injects.
type faultKind string

// The kinds of fault. A run in which one of them never happened has failed.
const (
	faultNotSent       faultKind = "request not sent"
	faultRefused       faultKind = "request refused by the endpoint"
	faultClosed        faultKind = "endpoint closed for some time"
	faultCutBefore     faultKind = "connection cut before the run"
	faultCutAfter      faultKind = "connection cut after the run"
	faultStreamCut     faultKind = "stream cut"
	faultStreamFrozen  faultKind = "stream frozen"
	faultChunkTwice    faultKind = "chunk twice"
	faultChunkCrossed  faultKind = "chunk of another stream"
	faultEndpointDied  faultKind = "endpoint died"
	faultNotice        faultKind = "host noticed"
	faultTransfer      faultKind = "cache transfer failed"
	faultNodeCrashed   faultKind = "daemon crashed"
	faultNodePaused    faultKind = "daemon paused"
	faultNodeStopped   faultKind = "daemon stopped gracefully"
	faultOutage        faultKind = "platform outage"
	faultLostAnswer    faultKind = "platform answer lost"
	faultForwardLost   faultKind = "forwarded claim lost"
	faultForwardTwice  faultKind = "forwarded claim twice"
	faultForwardAnswer faultKind = "answer to a forwarded claim lost"
)

var allFaults = []faultKind{
	faultNotSent, faultRefused, faultClosed, faultCutBefore, faultCutAfter, faultStreamCut, faultStreamFrozen,
	faultChunkTwice, faultChunkCrossed, faultEndpointDied, faultNotice, faultTransfer,
	faultNodeCrashed, faultNodePaused, faultNodeStopped, faultOutage, faultLostAnswer,
	faultForwardLost, faultForwardTwice, faultForwardAnswer,
}

// guarantee names a guarantee that a run checks.
type guarantee string

// The guarantees. Their values are the names of the end-to-end tests without the prefix TestPromise, apart
// from ClosedGetsNoNewWork, which has none.
const (
	guaranteeSurvivesReclaim guarantee = "AcceptedWorkSurvivesReclaim"
	guaranteeWholeAnswer     guarantee = "WholeOwnAnswer"
	guaranteeNotRun          guarantee = "NotRunMeansNotRun"
	guaranteeAtMostOnce      guarantee = "AtMostOnce"
	guaranteeLeaving         guarantee = "LeavingGetsNoNewWork"
	guaranteeGracefulStop    guarantee = "GracefulStop"
	guaranteeClosed          guarantee = "ClosedGetsNoNewWork"
)

var allGuarantees = []guarantee{
	guaranteeSurvivesReclaim, guaranteeWholeAnswer, guaranteeNotRun,
	guaranteeAtMostOnce, guaranteeLeaving, guaranteeGracefulStop, guaranteeClosed,
}

// report counts the injected faults, the checks and the violations of a run.
type report struct {
	mu         sync.Mutex
	faults     map[faultKind]int
	checks     map[guarantee]int
	outcomes   map[string]int
	violations []string
}

func newReport() *report {
	return &report{
		faults:   map[faultKind]int{},
		checks:   map[guarantee]int{},
		outcomes: map[string]int{},
	}
}

func (r *report) countFault(k faultKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[k]++
}

func (r *report) countOutcome(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[what]++
}

// check counts one check of a guarantee and records a violation if ok is false.
func (r *report) check(g guarantee, ok bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks[g]++
	if !ok {
		r.violations = append(r.violations, string(g)+": "+fmt.Sprintf(format, args...))
	}
}

func (r *report) recordViolation(name, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, "invariant "+name+": "+detail)
}

// maxPrinted limits the number of violations that are printed.
const maxPrinted = 20

// finish prints the counters. It fails the test on any violation, and if a kind of fault or of
// check never occurred.
func (r *report) finish(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range allFaults {
		fmt.Printf("fault: %s: %d\n", k, r.faults[k])
		if r.faults[k] == 0 {
			t.Errorf("fault %q never happened", k)
		}
	}
	for _, outcome := range sortedKeys(r.outcomes) {
		fmt.Printf("told: %s: %d\n", outcome, r.outcomes[outcome])
	}
	for _, g := range allGuarantees {
		fmt.Printf("checked: %s: %d\n", g, r.checks[g])
		if r.checks[g] == 0 {
			t.Errorf("guarantee %s was never checked", g)
		}
	}
	for i, v := range r.violations {
		if i < maxPrinted {
			t.Error(v)
		}
	}
	fmt.Printf("violations: %d\n", len(r.violations))
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
