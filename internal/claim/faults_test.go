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

// requiredFaults are the faults and segment changes that must have occurred in the runs.
var requiredFaults = []string{
	"store read unanswered", "store throttled", "store write lost before", "store answer lost",
	"store write lands late", "store conflict", "store outage",
	"forward lost", "forward answer lost", "forward duplicated", "forward delayed", "another owner",
	"caller gave up", "crash between claim and dispatch", "pause longer than any lease",
	"endpoint refused", "crash after dispatch",
	"segment sealed", "segments merged", "segment removed", "store delete unanswered",
}

// TestAtMostOnceUnderFaults simulates many callers that send the same few keys to several daemons
// while the store, the daemons and the messages between them fail. No key may be executed twice,
// and no answer may contradict what was executed.
func TestAtMostOnceUnderFaults(t *testing.T) {
	counts := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+int64(*seeds); seed++ {
		synctest.Test(t, func(t *testing.T) { runSimulation(t, seed, counts) })
	}
	for _, kind := range append(requiredFaults, "granted", "completed", "unknown", "expired", "in-progress", "refused") {
		t.Logf("%-34s %d", kind, counts[kind])
		if counts[kind] == 0 {
			t.Errorf("never happened: %s", kind)
		}
	}
}

const (
	simulatedDaemons = 3
	simulatedCallers = 60
	simulatedKeys    = 8
)

// simulation is one run: several daemons over one store, and a log of what the endpoint executed.
type simulation struct {
	*faults
	t     *testing.T
	seed  int64
	store *fakeStore

	mu         sync.Mutex
	daemons    []*daemon
	executed   map[string][]string // attempts that were executed, by key
	knownEnded map[string]bool     // runs of daemons whose end is known to the others
	notRun     map[string]bool     // attempts that were reported as not run
	serial     int
}

// daemon is one run of a daemon process.
type daemon struct {
	*Service
	*simulation
	member string
	dead   bool
}

func runSimulation(t *testing.T, seed int64, counts map[string]int) {
	f := &faults{random: rand.New(rand.NewSource(seed)), counts: counts}
	s := &simulation{faults: f, t: t, seed: seed, store: newFakeStore(f),
		executed: map[string][]string{}, knownEnded: map[string]bool{}, notRun: map[string]bool{}}
	s.store.latency = 5 * time.Millisecond
	for i := range simulatedDaemons {
		s.daemons = append(s.daemons, s.newDaemon(fmt.Sprintf("d%d", i)))
	}
	stop := make(chan struct{})
	var outages sync.WaitGroup
	outages.Go(func() { s.outages(stop) })
	var callers sync.WaitGroup
	for range simulatedCallers {
		callers.Go(s.caller)
	}
	callers.Wait()
	close(stop)
	outages.Wait()
	s.disable()
	time.Sleep(time.Minute)
	for _, d := range s.daemons {
		if n := d.Backlog(); n > 0 {
			t.Errorf("seed %d: %d reports left after the faults", seed, n)
		}
		for i := range simulatedKeys {
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
			t.Errorf("seed %d: %d invariant violations in the service", seed, n)
		}
	}
}

func (s *simulation) newDaemon(member string) *daemon {
	s.serial++
	d := &daemon{simulation: s, member: member}
	d.Service = NewService(Config{
		Member:      member,
		Writer:      fmt.Sprintf("%s/%d", member, s.serial),
		Store:       s.store,
		Owner:       s.owner,
		Forward:     d,
		WriterEnded: s.isKnownEnded,
		Settings:    Settings{Shards: 2, SealThresholdBytes: 200, MergeThreshold: 2},
		Logger:      &log.Logger{Level: log.ErrorLevel},
	})
	return d
}

// owner usually returns the same owner for a shard, and sometimes a random member.
func (s *simulation) owner(shard int) string {
	if s.draw("another owner", 0.2) {
		return fmt.Sprintf("d%d", s.pick(simulatedDaemons))
	}
	return fmt.Sprintf("d%d", shard%simulatedDaemons)
}

func (s *simulation) isKnownEnded(writer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownEnded[writer]
}

func (s *simulation) outages(stop chan struct{}) {
	for {
		for _, down := range []bool{false, true} {
			s.setDown(down)
			select {
			case <-time.After(s.duration(time.Minute)):
			case <-stop:
				return
			}
		}
	}
}

var errMessageLost = errors.New("message lost")

// Forward simulates the network between daemons.
func (d *daemon) Forward(ctx context.Context, owner string, op Op) (Result, error) {
	target := d.running(owner)
	handle := func() { _, _ = target.Handle(context.Background(), op) }
	switch {
	case d.draw("forward lost", 0.1):
		return Result{}, errMessageLost
	case d.draw("forward delayed", 0.1):
		time.AfterFunc(d.duration(time.Minute), handle)
		return Result{}, errMessageLost
	case d.draw("forward duplicated", 0.1):
		time.AfterFunc(d.duration(time.Minute), handle)
	}
	result, err := target.Handle(ctx, op)
	if d.draw("forward answer lost", 0.1) {
		return Result{}, errMessageLost
	}
	return result, err
}

func (s *simulation) running(member string) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.daemons, func(d *daemon) bool { return d.member == member })
	return s.daemons[i]
}

// crash kills a daemon, unless it is dead already, and starts a new run of it. Whether the end of
// the old run is known to the other daemons is random.
func (s *simulation) crash(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.dead {
		return
	}
	d.dead = true
	s.knownEnded[d.config.Writer] = s.pick(2) == 0
	i := slices.Index(s.daemons, d)
	s.daemons[i] = s.newDaemon(d.member)
	go d.Close()
}

// caller sends one key at a random time to a random daemon.
func (s *simulation) caller() {
	maxStartDelays := []time.Duration{time.Second, time.Minute, 20 * time.Minute, 20 * time.Minute, 3 * time.Hour}
	time.Sleep(s.duration(maxStartDelays[s.pick(len(maxStartDelays))]))
	key := testKey(fmt.Sprintf("key-%d", s.pick(simulatedKeys)))
	d := s.running(fmt.Sprintf("d%d", s.pick(simulatedDaemons)))
	s.mu.Lock()
	s.serial++
	attempt := fmt.Sprintf("attempt-%d", s.serial)
	s.mu.Unlock()
	maxTimeout := []time.Duration{30 * time.Millisecond, 5 * time.Second}[s.pick(2)]
	ctx, cancel := context.WithTimeout(context.Background(), s.duration(maxTimeout))
	defer cancel()
	result := d.Acquire(ctx, key, attempt)
	s.count(string(result.Kind))
	if ctx.Err() != nil {
		s.count("caller gave up")
	}
	s.check(key, attempt, result)
	if result.Kind == Granted {
		s.granted(d, key, attempt)
	}
}

// granted simulates what a daemon does with a granted claim.
func (s *simulation) granted(d *daemon, key Key, attempt string) {
	if s.draw("crash between claim and dispatch", 0.1) {
		s.crash(d)
		return
	}
	if s.draw("pause longer than any lease", 0.3) {
		time.Sleep(time.Minute + s.duration(4*time.Hour))
	}
	ctx := context.Background()
	if s.draw("endpoint refused", 0.3) {
		_ = d.Withdraw(ctx, key, attempt)
		return
	}
	if !s.dispatch(d, key, attempt) {
		return
	}
	if s.draw("crash after dispatch", 0.1) {
		s.crash(d)
		return
	}
	time.Sleep(s.duration(time.Minute))
	_ = d.Complete(ctx, key, attempt, 200, []byte(attempt))
}

// dispatch executes the call at the endpoint, unless the daemon has crashed.
func (s *simulation) dispatch(d *daemon, key Key, attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.dead {
		return false
	}
	name := key.IdempotencyKey
	s.executed[name] = append(s.executed[name], attempt)
	if s.notRun[attempt] {
		s.t.Errorf("seed %d: %s was executed although reported as not run", s.seed, attempt)
	}
	if len(s.executed[name]) > 1 {
		s.t.Errorf("seed %d: %s ran more than once: %v", s.seed, name, s.executed[name])
	}
	return true
}

// check verifies a Completed answer against what the endpoint executed, and records whether the
// answer says that the attempt was not run.
func (s *simulation) check(key Key, attempt string, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	executed := s.executed[key.IdempotencyKey]
	s.notRun[attempt] = result.Outcome() == outcome.NotRun
	if result.Kind != Completed {
		return
	}
	if len(executed) == 0 || result.HasBody && string(result.Body) != executed[0] {
		s.t.Errorf("seed %d: %s reported as completed by %q, executed: %v", s.seed, key.IdempotencyKey, result.Body, executed)
	}
}
