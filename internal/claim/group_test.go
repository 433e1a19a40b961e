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

var figureSpan = flag.Duration("claim.span", 5*time.Second, "virtual time of each figure")

const (
	figureLatency = 5 * time.Millisecond
	figureTarget  = 20.0
	answerTime    = 50 * time.Millisecond
)

// figure is what one load has cost.
type figure struct {
	*Metrics
	claims, writes int
	bytes          uint64
	p50, p99       time.Duration
}

// TestGroupFigures measures claims a platform write and the wait for a grant, in virtual
// time, with arrivals at random and a report for each claim.
func TestGroupFigures(t *testing.T) {
	span := figureSpan.Seconds()
	for _, shards := range []int{1, 4, 64} {
		for _, rate := range []float64{0.5, 23, 230} {
			var f figure
			synctest.Test(t, func(t *testing.T) { f = measure(t, shards, rate) })
			ratio := float64(f.claims) / float64(f.writes)
			t.Logf("shards=%d claims/s=%g claims/write=%.2f writes/s=%.1f bytes/s=%.0f seals=%d merges=%d last bytes=%d wait p50=%v p99=%v target met=%v",
				shards, rate, ratio, float64(f.writes)/span, float64(f.bytes)/span,
				f.Seals.Load(), f.Merges.Load(), f.ShardBytes.Load(), f.p50, f.p99, ratio >= figureTarget)
			if shards == 1 && rate == 230 && ratio < figureTarget {
				t.Errorf("%.2f claims a write with one shard, want %g", ratio, figureTarget)
			}
			if shards == 1 && rate == 0.5 && f.p50 > figureLatency {
				t.Errorf("a lone claim waits %v, one write takes %v", f.p50, figureLatency)
			}
		}
	}
}

// measure sends claims for a while, each to be completed a little later.
func measure(t *testing.T, shards int, rate float64) figure {
	store := newFakeStore(nil)
	store.latency = figureLatency
	s := NewService(Config{Member: "a", Writer: "a/1", Store: store, Settings: Settings{Shards: shards}})
	s.Acquire(context.Background(), testKey("first"), "first")
	before := s.config.Metrics.Writes.Load()
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var waits []time.Duration
	var group sync.WaitGroup
	for end := time.Now().Add(*figureSpan); time.Now().Before(end); {
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
			time.Sleep(answerTime)
			if err := s.Complete(context.Background(), testKey(name), name, 200, nil); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	group.Wait()
	s.Close()
	slices.Sort(waits)
	return figure{
		Metrics: s.config.Metrics,
		claims:  len(waits),
		writes:  int(s.config.Metrics.Writes.Load() - before),
		bytes:   s.config.Metrics.WrittenBytes.Load(),
		p50:     waits[len(waits)/2],
		p99:     waits[len(waits)*99/100],
	}
}

// filledShard holds the given numbers of records and fingerprints.
func filledShard(records, prints int) (*Shard, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	shard := NewShard()
	for i := range records {
		key := testKey(fmt.Sprint("record", i))
		shard.records[key.ID()] = Record{ID: key.ID(), Attempt: key.IdempotencyKey, Writer: "a/1",
			State: StateCompleted, Status: 200, CreatedMillis: now.UnixMilli()}
	}
	random := rand.New(rand.NewSource(1))
	for i := range prints {
		span := spanOf(now.UnixMilli()) - int64(i%24)
		shard.addPrints(span, []uint64{random.Uint64()})
	}
	return shard, now
}

func BenchmarkGroup(b *testing.B) {
	for _, size := range []struct{ records, prints int }{{100, 0}, {600, 5000}, {2000, 50000}} {
		shard, now := filledShard(size.records, size.prints)
		value, _ := shard.Encode()
		ops := make([]Op, 24)
		for i := range ops {
			ops[i] = Op{Kind: OpAcquire, Key: testKey(fmt.Sprint("new", i)), Attempt: fmt.Sprint("a", i), Writer: "w"}
		}
		b.Run(fmt.Sprintf("records=%d/prints=%d/bytes=%d", size.records, size.prints, len(value)), func(b *testing.B) {
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
