package claim

import (
	"context"
	"math/rand"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func testKey(name string) Key {
	return Key{Organisation: "org", IdempotencyKey: name, Method: "POST", Path: "/renew/fee"}
}

func TestClaimLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(Config{Member: "a", Writer: "a/1", Store: newFakeStore(nil)})
		defer s.Close()
		ctx := context.Background()

		is.Equal(s.Acquire(ctx, testKey("k1"), "t1").Kind, Granted)
		is.Equal(s.Acquire(ctx, testKey("k1"), "t2").Kind, InProgress)
		is.NoErr(s.Complete(ctx, testKey("k1"), "t1", 201, []byte("done")))
		done := s.Acquire(ctx, testKey("k1"), "t3")
		is.Equal(done.Kind, Completed)
		is.Equal(done.Status, 201)
		is.Equal(string(done.Body), "done")

		is.Equal(s.Acquire(ctx, testKey("k2"), "t4").Kind, Granted)
		is.NoErr(s.Withdraw(ctx, testKey("k2"), "t4"))
		is.Equal(s.Acquire(ctx, testKey("k2"), "t5").Kind, Granted)
		is.Equal(s.Withdraw(ctx, testKey("k2"), "t4"), nil)
		is.Equal(s.Acquire(ctx, testKey("k2"), "t6").Kind, InProgress)
	})
}

// TestRefusesAtOnceDuringOutage checks that operations are refused without delay during an outage
// of the store, and that a claim whose write was not answered is withdrawn after the outage.
func TestRefusesAtOnceDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &faults{random: rand.New(rand.NewSource(1)), counts: map[string]int{}, disabled: true}
		store := newFakeStore(f)
		s := NewService(Config{Member: "a", Writer: "a/1", Store: store, Settings: Settings{Shards: 1}})
		defer s.Close()
		ctx := context.Background()
		is.Equal(s.Acquire(ctx, testKey("k0"), "t0").Kind, Granted)

		store.loseNextAnswer = true
		start := time.Now()
		lost := s.Acquire(ctx, testKey("k1"), "t1")
		is.Equal(lost.Kind, Refused)
		is.True(lost.MayBeStored)
		next := s.Acquire(ctx, testKey("k2"), "t2")
		is.Equal(next.Kind, Refused)
		is.True(next.RetryAfter() > 0)
		is.Equal(time.Since(start), 0*time.Second)
		is.Equal(s.Complete(ctx, testKey("k0"), "t0", 200, nil), ErrDeferred)

		f.setDown(false)
		is.NoErr(s.Flush(ctx))
		is.Equal(s.Acquire(ctx, testKey("k1"), "t3").Kind, Granted)
		is.Equal(s.Acquire(ctx, testKey("k0"), "t4").Kind, Completed)
	})
}

func TestMetricsRegister(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	is.NoErr(new(Metrics).Register(registry))
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), reflect.TypeFor[Metrics]().NumField())
}

func TestStoredShardCountOverridesSetting(t *testing.T) {
	is := is.New(t)
	store := newFakeStore(nil)
	a := NewService(Config{Member: "a", Writer: "a/1", Store: store, Settings: Settings{Shards: 8}})
	b := NewService(Config{Member: "b", Writer: "b/1", Store: store, Settings: Settings{Shards: 64}})
	defer a.Close()
	defer b.Close()
	for _, name := range []string{"k1", "k2", "k3", "k4"} {
		is.Equal(a.Acquire(context.Background(), testKey(name), "a"+name).Kind, Granted)
		is.Equal(b.Acquire(context.Background(), testKey(name), "b"+name).Kind, InProgress)
	}
}

// TestShardsAreWithinTheLayout checks that a daemon stores no layout that the others refuse.
func TestShardsAreWithinTheLayout(t *testing.T) {
	is := is.New(t)
	is.Equal(Settings{Shards: 1 << 30}.withDefaults().Shards, maxShards)
	is.Equal(Settings{}.withDefaults().Shards, DefaultShards)
}

// TestLargeBodyIsNotRecordedAsEmpty checks that a repeat of a call whose response was too large to keep is
// told so, rather than given an empty body as if that were the response.
func TestLargeBodyIsNotRecordedAsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(Config{Member: "a", Writer: "a/1", Store: newFakeStore(nil)})
		defer s.Close()
		for name, body := range map[string][]byte{"empty": nil, "largest": make([]byte, MaxBodyBytes), "too large": make([]byte, MaxBodyBytes+1)} {
			is.Equal(s.Acquire(t.Context(), testKey(name), "t1").Kind, Granted)
			is.NoErr(s.Complete(t.Context(), testKey(name), "t1", 200, body))
			done := s.Acquire(t.Context(), testKey(name), "t2")
			is.Equal(done.Kind, Completed)
			is.Equal(done.HasBody, name != "too large")
		}
	})
}
