package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/outcome"
)

var (
	firstSeed = flag.Int64("claim.seed", 1, "first seed of the fault runs")
	seeds     = flag.Int("claim.seeds", 60, "number of fault runs")
)

// provoked lists the faults that the runs must have seen.
var provoked = []string{
	"store read unanswered", "store throttled", "store write lost before", "store answer lost",
	"store write lands late", "store conflict", "store outage",
	"forward lost", "forward answer lost", "forward duplicated", "forward delayed", "another owner",
	"caller gave up", "crash between claim and dispatch", "pause longer than any lease",
	"endpoint refused", "crash after dispatch",
	"segment sealed", "segments merged", "segment removed", "store delete unanswered",
}

// TestAtMostOnceUnderFaults lets callers retry few keys on several daemons while the
// store, the daemons and the messages between them fail.
func TestAtMostOnceUnderFaults(t *testing.T) {
	counts := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+int64(*seeds); seed++ {
		synctest.Test(t, func(t *testing.T) { runWorld(t, seed, counts) })
	}
	for _, kind := range append(provoked, "granted", "completed", "unknown", "expired", "in-progress", "refused") {
		t.Logf("%-34s %d", kind, counts[kind])
		if counts[kind] == 0 {
			t.Errorf("never happened: %s", kind)
		}
	}
}

const (
	worldDaemons = 3
	worldCallers = 60
	worldKeys    = 8
)

// world is one run: daemons over one store, and the endpoint's ledger.
type world struct {
	*faults
	t     *testing.T
	seed  int64
	store *fakeStore

	mu      sync.Mutex
	daemons []*daemon
	runs    map[string][]string // attempts that ran, by key
	gone    map[string]bool
	refused map[string]bool // attempts whose callers were told "not run"
	serial  int
}

// daemon is one run of a process.
type daemon struct {
	*Service
	*world
	member string
	dead   bool
}

func runWorld(t *testing.T, seed int64, counts map[string]int) {
	f := &faults{random: rand.New(rand.NewSource(seed)), counts: counts}
	w := &world{faults: f, t: t, seed: seed, store: newFakeStore(f),
		runs: map[string][]string{}, gone: map[string]bool{}, refused: map[string]bool{}}
	w.store.latency = 5 * time.Millisecond
	for i := range worldDaemons {
		w.daemons = append(w.daemons, w.newDaemon(fmt.Sprintf("d%d", i)))
	}
	stop := make(chan struct{})
	var outages sync.WaitGroup
	outages.Go(func() { w.outages(stop) })
	var callers sync.WaitGroup
	for range worldCallers {
		callers.Go(w.caller)
	}
	callers.Wait()
	close(stop)
	outages.Wait()
	w.calm()
	time.Sleep(time.Minute)
	for _, d := range w.daemons {
		if n := d.Backlog(); n > 0 {
			t.Errorf("seed %d: %d reports left after the faults", seed, n)
		}
		for i := range worldKeys {
			attempt := fmt.Sprintf("last-%s-%d", d.member, i)
			if r := d.Acquire(context.Background(), testKey(fmt.Sprint("key-", i)), attempt); r.Kind == Refused {
				t.Errorf("seed %d: key-%d refused after the faults", seed, i)
			}
		}
		d.Close()
		m := d.config.Metrics
		counts["segment sealed"] += int(m.Seals.Load())
		counts["segments merged"] += int(m.Merges.Load())
		counts["segment removed"] += int(m.Removals.Load())
		if n := m.Violations.Load(); n > 0 {
			t.Errorf("seed %d: %d invariants broken inside", seed, n)
		}
	}
}

func (w *world) newDaemon(member string) *daemon {
	w.serial++
	d := &daemon{world: w, member: member}
	d.Service = NewService(Config{
		Member:      member,
		Writer:      fmt.Sprintf("%s/%d", member, w.serial),
		Store:       w.store,
		Owner:       w.owner,
		Forward:     d,
		WriterEnded: w.isGone,
		Settings:    Settings{Shards: 2, SealThresholdBytes: 200, MergeThreshold: 2},
		Logger:      &log.Logger{Level: log.ErrorLevel},
	})
	return d
}

// owner mostly agrees on one owner, and sometimes names any.
func (w *world) owner(shard int) string {
	if w.draw("another owner", 0.2) {
		return fmt.Sprintf("d%d", w.pick(worldDaemons))
	}
	return fmt.Sprintf("d%d", shard%worldDaemons)
}

func (w *world) isGone(writer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone[writer]
}

func (w *world) outages(stop chan struct{}) {
	for {
		for _, down := range []bool{false, true} {
			w.setDown(down)
			select {
			case <-time.After(w.duration(time.Minute)):
			case <-stop:
				return
			}
		}
	}
}

var errMessage = errors.New("message lost")

// Forward is the network between daemons.
func (d *daemon) Forward(ctx context.Context, owner string, op Op) (Result, error) {
	target := d.running(owner)
	handle := func() { _, _ = target.Handle(context.Background(), op) }
	switch {
	case d.draw("forward lost", 0.1):
		return Result{}, errMessage
	case d.draw("forward delayed", 0.1):
		time.AfterFunc(d.duration(time.Minute), handle)
		return Result{}, errMessage
	case d.draw("forward duplicated", 0.1):
		time.AfterFunc(d.duration(time.Minute), handle)
	}
	result, err := target.Handle(ctx, op)
	if d.draw("forward answer lost", 0.1) {
		return Result{}, errMessage
	}
	return result, err
}

func (w *world) running(member string) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.member == member })
	return w.daemons[i]
}

// crash ends a daemon at once and starts it anew.
func (w *world) crash(d *daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.dead {
		return
	}
	d.dead = true
	w.gone[d.config.Writer] = w.pick(2) == 0
	i := slices.Index(w.daemons, d)
	w.daemons[i] = w.newDaemon(d.member)
	go d.Close()
}

// caller sends one key, some time, to some daemon.
func (w *world) caller() {
	spread := []time.Duration{time.Second, time.Minute, 20 * time.Minute, 20 * time.Minute, 3 * time.Hour}
	time.Sleep(w.duration(spread[w.pick(len(spread))]))
	key := testKey(fmt.Sprintf("key-%d", w.pick(worldKeys)))
	d := w.running(fmt.Sprintf("d%d", w.pick(worldDaemons)))
	w.mu.Lock()
	w.serial++
	attempt := fmt.Sprintf("attempt-%d", w.serial)
	w.mu.Unlock()
	patience := []time.Duration{30 * time.Millisecond, 5 * time.Second}[w.pick(2)]
	ctx, cancel := context.WithTimeout(context.Background(), w.duration(patience))
	defer cancel()
	result := d.Acquire(ctx, key, attempt)
	w.count(string(result.Kind))
	if ctx.Err() != nil {
		w.count("caller gave up")
	}
	w.check(key, attempt, result)
	if result.Kind == Granted {
		w.granted(d, key, attempt)
	}
}

// granted does what a daemon does with a granted claim.
func (w *world) granted(d *daemon, key Key, attempt string) {
	if w.draw("crash between claim and dispatch", 0.1) {
		w.crash(d)
		return
	}
	if w.draw("pause longer than any lease", 0.3) {
		time.Sleep(time.Minute + w.duration(4*time.Hour))
	}
	ctx := context.Background()
	if w.draw("endpoint refused", 0.3) {
		_ = d.Withdraw(ctx, key, attempt)
		return
	}
	if !w.dispatch(d, key, attempt) {
		return
	}
	if w.draw("crash after dispatch", 0.1) {
		w.crash(d)
		return
	}
	time.Sleep(w.duration(time.Minute))
	_ = d.Complete(ctx, key, attempt, 200, []byte(attempt))
}

// dispatch runs the call at the endpoint, unless the daemon has died.
func (w *world) dispatch(d *daemon, key Key, attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.dead {
		return false
	}
	name := key.IdempotencyKey
	w.runs[name] = append(w.runs[name], attempt)
	if w.refused[attempt] {
		w.t.Errorf("seed %d: %s ran after it was told not run", w.seed, attempt)
	}
	if len(w.runs[name]) > 1 {
		w.t.Errorf("seed %d: %s ran more than once: %v", w.seed, name, w.runs[name])
	}
	return true
}

// check holds an answer against the ledger.
func (w *world) check(key Key, attempt string, result Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.runs[key.IdempotencyKey]
	w.refused[attempt] = result.Outcome() == outcome.NotRun
	if result.Kind != Completed {
		return
	}
	if len(runs) == 0 || result.HasBody && string(result.Body) != runs[0] {
		w.t.Errorf("seed %d: %s told completed by %q, ran %v", w.seed, key.IdempotencyKey, result.Body, runs)
	}
}
