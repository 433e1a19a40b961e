package keeper

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	"rattanchute/internal/registry"
	"rattanchute/internal/standin"
)

var epoch = time.Unix(1_800_000_000, 0)

// host is the keeper of one run of a host whose fleet "f" has two versions, with a clock of its own.
type host struct {
	*Keeper
	now time.Time
}

func newHost(store objectstore.Store, writer string, now time.Time) *host {
	h := &host{now: now}
	table := origin.NewTable(now, false)
	table.SetEndpoints(now, []registry.Known{
		{Endpoint: registry.Endpoint{ID: "1", Fleet: "f", Version: "v1"}},
		{Endpoint: registry.Endpoint{ID: "2", Fleet: "f", Version: "v2"}},
	})
	yes := func() bool { return true }
	h.Keeper = New(Config{
		Writer: writer, Table: table, Store: store,
		Now:         func() time.Time { return h.now },
		ClusterTime: func(t time.Time) time.Time { return t },
		Endpoints:   func() (objectstore.Version, []registry.Endpoint) { return 1, nil },
		Writes:      yes, Sweeps: yes, OnCall: func(error) {},
		Log: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	return h
}

// begin has streams begin, and returns their keys.
func (h *host) begin(count int) []origin.Key {
	h.now = h.now.Add(time.Millisecond)
	var keys []origin.Key
	for range count {
		key := origin.KeyOf("o", fmt.Sprint(h.Writer, h.now, len(keys)))
		h.Table.Began(h.now, key, origin.Origin{Fleet: "f", Version: "v1"})
		keys = append(keys, key)
	}
	return keys
}

// known counts the streams that a host knows which starts and reads the store.
func known(t *testing.T, store objectstore.Store, keys []origin.Key) int {
	t.Helper()
	reader := newHost(store, "reader", epoch)
	if !reader.load(context.Background()) {
		t.Fatal("not read")
	}
	count := 0
	for _, key := range keys {
		if o, found := reader.Table.Find(key); found {
			if o.Version != "v1" {
				t.Fatalf("%s began at %q", key, o.Version)
			}
			count++
		}
	}
	return count
}

func stored(store *standin.Store) int { return len(store.Contents(objectstore.KindOrigins)) }

func TestHostThatStartsKnowsTheStoredStreams(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewStore(standin.StoreConfig{})
	one, two := newHost(store, "one", epoch), newHost(store, "two", epoch)
	keys := append(one.begin(5), two.begin(2500)...)
	is.NoErr(one.store(ctx))
	is.NoErr(two.store(ctx))
	is.Equal(known(t, store, keys), len(keys))
	is.Equal(stored(store), 4) // one and three
}

// TestPartIsRewrittenWhileYoung checks how many calls streams cost that begin over some seconds.
func TestPartIsRewrittenWhileYoung(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	h := newHost(store, "h", epoch)
	var keys []origin.Key
	for range 20 {
		keys = append(keys, h.begin(3)...)
		is.NoErr(h.store(context.Background()))
		is.NoErr(h.store(context.Background())) // nothing new
		h.now = h.now.Add(500 * time.Millisecond)
	}
	is.Equal(known(t, store, keys), len(keys))
	is.Equal(stored(store), 5) // 10 s
	is.Equal(store.Counts().Calls[standin.VerbCreate], uint64(5))
	is.Equal(store.Counts().Calls[standin.VerbUpdate], uint64(15))
}

// TestFailedWritesAreRepeated has writes fail without effect, and take effect without an answer.
func TestFailedWritesAreRepeated(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewStore(standin.StoreConfig{})
	h := newHost(store, "h", epoch)
	keys := h.begin(3)
	for _, f := range []standin.StoreFaults{{Outage: true}, {LoseAnswers: 1}, {Outage: true}, {}, {LoseAnswers: 1}} {
		store.SetFaults(f)
		_ = h.store(ctx)
		keys = append(keys, h.begin(1)...)
	}
	store.SetFaults(standin.StoreFaults{})
	for range 5 {
		_ = h.store(ctx)
	}
	is.NoErr(h.store(ctx))
	is.Equal(known(t, store, keys), len(keys))
}

// TestMemoryIsBoundedWhileTheStoreFails has streams begin for some minutes while the store answers nothing.
func TestMemoryIsBoundedWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	h := newHost(store, "h", epoch)
	store.SetFaults(standin.StoreFaults{Outage: true})
	for range 400 {
		h.begin(3)
		is.True(h.store(context.Background()) != nil)
		h.now = h.now.Add(time.Second)
	}
	is.True(len(h.parts) <= maxParts)
	store.SetFaults(standin.StoreFaults{})
	keys := h.begin(3)
	is.NoErr(h.store(context.Background()))
	is.Equal(known(t, store, keys), 3)
}

// TestRestoredStore takes the store back to an older copy: the streams that it lacks are unknown, until their
// host writes again, and no other is wrong.
func TestRestoredStore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewStore(standin.StoreConfig{})
	h := newHost(store, "h", epoch)
	old := h.begin(3)
	is.NoErr(h.store(ctx))
	copied := store.Snapshot()
	lost := h.begin(4)
	is.NoErr(h.store(ctx))
	store.Restore(copied)
	is.Equal(known(t, store, old), 3)
	is.Equal(known(t, store, lost), 0)
	next := h.begin(2)
	_ = h.store(ctx) // its condition does not hold
	is.NoErr(h.store(ctx))
	is.Equal(known(t, store, next), 2)
	is.Equal(known(t, store, lost), 4)
}

func TestExpiredPartsAreDeleted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewStore(standin.StoreConfig{})
	h, gone := newHost(store, "h", epoch), newHost(store, "gone", epoch)
	h.begin(3)
	gone.begin(3)
	is.NoErr(h.store(ctx))
	is.NoErr(gone.store(ctx))
	store.Put(objectstore.KindOrigins, "garbage", []byte(`"?"`))
	h.now = h.now.Add(40 * time.Second)
	is.NoErr(h.store(ctx))
	h.sweep(ctx)
	is.Equal(stored(store), 2) // streams of both may still be resumed, but garbage says nothing
	h.now = h.now.Add(10 * time.Second)
	is.NoErr(h.store(ctx))
	is.Equal(stored(store), 1)
	h.sweep(ctx)
	is.Equal(stored(store), 0)
	h.sweep(ctx)
	is.Equal(store.Counts().Calls[standin.VerbDelete], uint64(3))
}

func TestUnreadablePartsAreIgnored(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	store.Put(objectstore.KindOrigins, "a", []byte(`{"origins":[{"fleet":"f","version":"v2","keys":"x"}]}`))
	h := newHost(store, "h", epoch)
	keys := h.begin(2)
	is.NoErr(h.store(context.Background()))
	is.Equal(known(t, store, keys), 2)
}

// TestFollowersStoreNothing checks that a host that does not write leaves its streams to its leader, and calls
// the store only once.
func TestFollowersStoreNothing(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	h := newHost(store, "h", epoch)
	h.Writes = func() bool { return false }
	h.begin(3)
	is.NoErr(h.store(context.Background()))
	is.Equal(stored(store), 0)
	is.Equal(len(store.Counts().Calls), 0)
}

// TestStoreAwayAtTheStart has the store answer only some time after the host has started.
func TestStoreAwayAtTheStart(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	writer := newHost(store, "w", epoch)
	keys := writer.begin(3)
	is.NoErr(writer.store(context.Background()))
	store.SetFaults(standin.StoreFaults{Outage: true})
	h := newHost(store, "h", epoch)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for store.Counts().Calls[standin.VerbList] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(!h.Loaded())
	_, found := h.Table.Find(keys[0])
	is.True(!found)
	store.SetFaults(standin.StoreFaults{})
	for deadline := time.Now().Add(10 * time.Second); !h.Loaded(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not read")
		}
	}
	_, found = h.Table.Find(keys[0])
	is.True(found)
}
