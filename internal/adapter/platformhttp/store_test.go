package platformhttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/platformhttp"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/standin"
)

// testStore is a store under test with the fake that holds its data.
type testStore struct {
	store objectstore.Store
	fake  *standin.Store
}

// newStores holds the constructors of the stores under test: the fake itself and a client
// of it over HTTP.
var newStores = map[string]func(*testing.T, standin.StoreConfig) testStore{
	"in process": func(_ *testing.T, c standin.StoreConfig) testStore {
		s := standin.NewStore(c)
		return testStore{s, s}
	},
	"over HTTP": func(t *testing.T, c standin.StoreConfig) testStore {
		config := standin.SiteConfig{Platform: standin.PlatformConfig{StoreConfig: c, Token: "secret"}}
		site, err := standin.NewSite(config)
		if err != nil {
			t.Fatal(err)
		}
		if err := site.Listen(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(site.Close)
		wait := time.Duration(c.WatchWaitMillis) * time.Millisecond
		options := platformhttp.Options{Address: site.Address(), Token: "secret", WatchWait: wait}
		return testStore{platformhttp.New(options), site.Store}
	},
}

const kind = objectstore.Kind("things")

func value(s string) json.RawMessage { return json.RawMessage(`"` + s + `"`) }

// contract lists the behaviour that every implementation of objectstore.Store must have, also
// while the service behind it fails; the fake injects the failures.
var contract = []struct {
	name   string
	config standin.StoreConfig
	check  func(*is.I, testStore)
}{
	{"reads what was written", standin.StoreConfig{}, checkReads},
	{"refuses wrong versions", standin.StoreConfig{}, checkConflicts},
	{"refuses large values", standin.StoreConfig{}, checkLarge},
	{"watches", standin.StoreConfig{WatchWaitMillis: 20}, checkWatch},
	{"wakes a waiting watch", standin.StoreConfig{WatchWaitMillis: 10_000}, checkWatchWakes},
	{"ends a waiting watch in an outage", standin.StoreConfig{WatchWaitMillis: 10_000}, checkWatchOutage},
	{"forgets old changes", standin.StoreConfig{WatchWaitMillis: 20, History: 2}, checkCompacted},
	{"throttles without effect", standin.StoreConfig{CallsPerSecond: 0.001, Burst: 1}, checkThrottled},
	{"has outages without effect", standin.StoreConfig{}, checkOutage},
	{"loses answers after the effect", standin.StoreConfig{}, checkLostAnswers},
	{"ends a delayed call with its context", standin.StoreConfig{}, checkDelay},
}

func TestStoreContract(t *testing.T) {
	for storeName, newStore := range newStores {
		for _, c := range contract {
			t.Run(storeName+"/"+c.name, func(t *testing.T) {
				c.check(is.New(t), newStore(t, c.config))
			})
		}
	}
}

func checkReads(is *is.I, b testStore) {
	ctx := context.Background()
	name := "a/b ü?.."
	made, err := b.store.Create(ctx, kind, name, value("1"))
	is.NoErr(err)
	made.Value = value("2")
	updated, err := b.store.Update(ctx, made)
	is.NoErr(err)
	is.True(updated.Version > made.Version)
	read, err := b.store.Get(ctx, kind, name)
	is.NoErr(err)
	is.Equal(read, updated)
	list, version, err := b.store.List(ctx, kind)
	is.NoErr(err)
	is.Equal(version, updated.Version)
	is.Equal(list, []objectstore.Object{updated})
	is.NoErr(b.store.Delete(ctx, updated))
	_, err = b.store.Get(ctx, kind, name)
	is.True(errors.Is(err, objectstore.ErrNotFound))
	is.Equal(b.fake.Counts().Calls[standin.VerbGet], uint64(2))
}

func checkConflicts(is *is.I, b testStore) {
	ctx := context.Background()
	made, err := b.store.Create(ctx, kind, "a", value("1"))
	is.NoErr(err)
	_, err = b.store.Create(ctx, kind, "a", value("2"))
	is.True(errors.Is(err, objectstore.ErrConflict))
	old := made
	old.Version--
	_, err = b.store.Update(ctx, old)
	is.True(errors.Is(err, objectstore.ErrConflict))
	is.True(errors.Is(b.store.Delete(ctx, old), objectstore.ErrConflict))
	missing := objectstore.Object{Kind: kind, Name: "b", Version: 1, Value: value("1")}
	_, err = b.store.Update(ctx, missing)
	is.True(errors.Is(err, objectstore.ErrNotFound))
	read, err := b.store.Get(ctx, kind, "a")
	is.NoErr(err)
	is.Equal(read, made)
}

func checkLarge(is *is.I, b testStore) {
	limit := value(strings.Repeat("x", objectstore.MaxValueBytes-2))
	_, err := b.store.Create(context.Background(), kind, "a", limit)
	is.NoErr(err)
	_, err = b.store.Create(context.Background(), kind, "b", value(strings.Repeat("x", objectstore.MaxValueBytes)))
	is.True(errors.Is(err, objectstore.ErrTooLarge))
}

func checkWatch(is *is.I, b testStore) {
	ctx := context.Background()
	events, version, err := b.store.Watch(ctx, kind, 0)
	is.NoErr(err)
	is.Equal(len(events), 0)
	made, err := b.store.Create(ctx, kind, "a", value("1"))
	is.NoErr(err)
	_, err = b.store.Create(ctx, "others", "a", value("1"))
	is.NoErr(err)
	is.NoErr(b.store.Delete(ctx, made))
	events, after, err := b.store.Watch(ctx, kind, version)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(events[0].Object, made)
	is.True(events[1].Deleted)
	events, _, err = b.store.Watch(ctx, kind, after)
	is.NoErr(err)
	is.Equal(len(events), 0)
}

func checkWatchWakes(is *is.I, b testStore) {
	ctx := context.Background()
	got := make(chan []objectstore.Event)
	go func() {
		events, _, _ := b.store.Watch(ctx, kind, 0)
		got <- events
	}()
	waitForWatch(b)
	made, err := b.store.Create(ctx, kind, "a", value("1"))
	is.NoErr(err)
	events := <-got
	is.Equal(len(events), 1)
	is.Equal(events[0].Object, made)
}

func waitForWatch(b testStore) {
	for b.fake.Counts().Calls[standin.VerbWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
}

func checkWatchOutage(is *is.I, b testStore) {
	got := make(chan error)
	go func() {
		_, _, err := b.store.Watch(context.Background(), kind, 0)
		got <- err
	}()
	waitForWatch(b)
	b.fake.SetFaults(standin.StoreFaults{Outage: true})
	is.True(errors.Is(<-got, objectstore.ErrUnavailable))
}

func checkCompacted(is *is.I, b testStore) {
	ctx := context.Background()
	for _, name := range []string{"a", "b", "c", "d"} {
		_, err := b.store.Create(ctx, kind, name, value("1"))
		is.NoErr(err)
	}
	_, _, err := b.store.Watch(ctx, kind, 1)
	is.True(errors.Is(err, objectstore.ErrCompacted))
	events, _, err := b.store.Watch(ctx, kind, 2)
	is.NoErr(err)
	is.Equal(len(events), 2)
}

func checkThrottled(is *is.I, b testStore) {
	ctx := context.Background()
	_, err := b.store.Create(ctx, kind, "a", value("1"))
	is.NoErr(err)
	_, err = b.store.Create(ctx, kind, "b", value("1"))
	is.True(errors.Is(err, objectstore.ErrThrottled))
	is.Equal(b.fake.Counts().Throttled, uint64(1))
}

func checkOutage(is *is.I, b testStore) {
	ctx := context.Background()
	b.fake.SetFaults(standin.StoreFaults{Outage: true})
	_, err := b.store.Create(ctx, kind, "a", value("1"))
	is.True(errors.Is(err, objectstore.ErrUnavailable))
	b.fake.SetFaults(standin.StoreFaults{Outage: true, CutConnection: true})
	_, err = b.store.Get(ctx, kind, "a")
	is.True(errors.Is(err, objectstore.ErrUnavailable))
	b.fake.SetFaults(standin.StoreFaults{})
	_, err = b.store.Get(ctx, kind, "a")
	is.True(errors.Is(err, objectstore.ErrNotFound))
}

func checkLostAnswers(is *is.I, b testStore) {
	ctx := context.Background()
	for _, cut := range []bool{false, true} {
		b.fake.SetFaults(standin.StoreFaults{LoseAnswers: 1, CutConnection: cut})
		name := map[bool]string{false: "answered 503", true: "cut"}[cut]
		_, err := b.store.Create(ctx, kind, name, value("1"))
		is.True(errors.Is(err, objectstore.ErrUnavailable))
		read, err := b.store.Get(ctx, kind, name)
		is.NoErr(err)
		is.Equal(string(read.Value), `"1"`)
	}
	is.Equal(b.fake.Counts().LostAnswers, uint64(2))
}

func checkDelay(is *is.I, b testStore) {
	b.fake.SetFaults(standin.StoreFaults{DelayMillis: 60_000})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := b.store.Get(ctx, kind, "a")
	is.True(errors.Is(err, objectstore.ErrUnavailable))
}

func TestUnreachableServiceReturnsErrThrottled(t *testing.T) {
	is := is.New(t)
	site, err := standin.NewSite(standin.SiteConfig{})
	is.NoErr(err)
	is.NoErr(site.Listen())
	store := platformhttp.New(platformhttp.Options{Address: site.Address()})
	_, err = store.Create(context.Background(), kind, "a", value("1"))
	is.NoErr(err)
	site.Close()
	_, err = store.Create(context.Background(), kind, "b", value("1"))
	is.True(errors.Is(err, objectstore.ErrThrottled))
}

func TestWrongTokenIsRejected(t *testing.T) {
	is := is.New(t)
	config := standin.SiteConfig{Platform: standin.PlatformConfig{Token: "secret"}}
	site, err := standin.NewSite(config)
	is.NoErr(err)
	is.NoErr(site.Listen())
	defer site.Close()
	store := platformhttp.New(platformhttp.Options{Address: site.Address(), Token: "wrong"})
	_, err = store.Create(context.Background(), kind, "a", value("1"))
	is.True(errors.Is(err, platformhttp.ErrRejected))
	is.Equal(len(site.Store.Counts().Calls), 0)
}
