package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var measuredDuration = flag.Duration("claim.span", 5*time.Second, "virtual time of each figure")

const (
	storeLatency         = 5 * time.Millisecond
	targetClaimsPerWrite = 20.0
	responseTime         = 50 * time.Millisecond
)

// measurement is the result for one load.
type measurement struct {
	*Metrics
	claims, writes int
	bytes          uint64
	p50, p99       time.Duration
}

// TestGroupFigures measures, in virtual time, the number of claims per platform write and the time
// until a claim is granted. Arrivals are random and each claim is followed by a report.
func TestGroupFigures(t *testing.T) {
	span := measuredDuration.Seconds()
	for _, shards := range []int{1, 4, 64} {
		for _, rate := range []float64{0.5, 23, 230} {
			var m measurement
			synctest.Test(t, func(t *testing.T) { m = measure(t, shards, rate) })
			ratio := float64(m.claims) / float64(m.writes)
			t.Logf("shards=%d claims/s=%g claims/write=%.2f writes/s=%.1f bytes/s=%.0f seals=%d merges=%d last bytes=%d wait p50=%v p99=%v target met=%v",
				shards, rate, ratio, float64(m.writes)/span, float64(m.bytes)/span,
				m.Seals.Load(), m.Merges.Load(), m.ShardBytes.Load(), m.p50, m.p99, ratio >= targetClaimsPerWrite)
			if shards == 1 && rate == 230 && ratio < targetClaimsPerWrite {
				t.Errorf("%.2f claims a write with one shard, want %g", ratio, targetClaimsPerWrite)
			}
			if shards == 1 && rate == 0.5 && m.p50 > storeLatency {
				t.Errorf("a lone claim waits %v, one write takes %v", m.p50, storeLatency)
			}
		}
	}
}

// measure sends claims for measuredDuration and completes each of them a little later.
func measure(t *testing.T, shards int, rate float64) measurement {
	store := newFakeStore(nil)
	store.latency = storeLatency
	s := NewService(Config{Member: "a", Writer: "a/1", Store: store, Settings: Settings{Shards: shards}})
	s.Acquire(context.Background(), testKey("first"), "first")
	before := s.config.Metrics.Writes.Load()
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var waits []time.Duration
	var group sync.WaitGroup
	for end := time.Now().Add(*measuredDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		name := fmt.Sprint("k", random.Int63())
		group.Go(func() {
			start := time.Now()
			result := s.Acquire(context.Background(), testKey(name), name)
			wait := time.Since(start)
			if result.Kind != Granted {
				t.Errorf("%s: %v", name, result)
			}
			mu.Lock()
			waits = append(waits, wait)
			mu.Unlock()
			time.Sleep(responseTime)
			if err := s.Complete(context.Background(), testKey(name), name, 200, nil); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	group.Wait()
	s.Close()
	slices.Sort(waits)
	return measurement{
		Metrics: s.config.Metrics,
		claims:  len(waits),
		writes:  int(s.config.Metrics.Writes.Load() - before),
		bytes:   s.config.Metrics.WrittenBytes.Load(),
		p50:     waits[len(waits)/2],
		p99:     waits[len(waits)*99/100],
	}
}

// filledShard returns a shard with the given numbers of records and fingerprints.
func filledShard(records, fingerprints int) (*Shard, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	shard := NewShard()
	for i := range records {
		key := testKey(fmt.Sprint("record", i))
		shard.records[key.ID()] = Record{ID: key.ID(), Attempt: key.IdempotencyKey, Writer: "a/1",
			State: StateCompleted, Status: 200, CreatedMillis: now.UnixMilli()}
	}
	random := rand.New(rand.NewSource(1))
	for i := range fingerprints {
		span := spanOf(now.UnixMilli()) - int64(i%24)
		shard.addFingerprints(span, []uint64{random.Uint64()})
	}
	return shard, now
}

func BenchmarkGroup(b *testing.B) {
	for _, size := range []struct{ records, fingerprints int }{{100, 0}, {600, 5000}, {2000, 50000}} {
		shard, now := filledShard(size.records, size.fingerprints)
		value, _ := shard.Encode()
		ops := make([]Op, 24)
		for i := range ops {
			ops[i] = Op{Kind: OpAcquire, Key: testKey(fmt.Sprint("new", i)), Attempt: fmt.Sprint("a", i), Writer: "w"}
		}
		b.Run(fmt.Sprintf("records=%d/prints=%d/bytes=%d", size.records, size.fingerprints, len(value)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				applied, err := shard.Apply(ops, Env{Now: now})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := applied.Shard.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
