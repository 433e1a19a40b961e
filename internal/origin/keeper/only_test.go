package keeper

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	"rattanchute/internal/registry"
	"rattanchute/internal/standin"
)

// onlySite is a store whose fleet "f" has had only endpoints of version "v1".
type onlySite struct {
	*standin.Store
	t *testing.T
}

func newOnlySite(t *testing.T) *onlySite {
	s := &onlySite{Store: standin.NewStore(standin.StoreConfig{WatchWaitMillis: 1, History: 20}), t: t}
	s.put("e", "v1")
	return s
}

// put writes an entry of an endpoint.
func (s *onlySite) put(id, version string) {
	s.t.Helper()
	value, err := json.Marshal(registry.Endpoint{ID: id, Fleet: "f", Version: version})
	if err != nil {
		s.t.Fatal(err)
	}
	s.Put(objectstore.KindEndpoint, id, value)
}

func decode(o objectstore.Object) (registry.Endpoint, bool) {
	var e registry.Endpoint
	err := json.Unmarshal(o.Value, &e)
	return e, err == nil
}

// start returns a host that has read the list of endpoints, in a system that starts for the first time if first
// is set.
func (s *onlySite) start(first bool) *host {
	s.t.Helper()
	h := newHost(s, "h", epoch)
	h.Table = origin.NewTable(h.now, first)
	h.DecodeEndpoint = decode
	h.Endpoints = s.endpoints
	s.list(h)
	return h
}

// endpoints reads the list of endpoints.
func (s *onlySite) endpoints() (objectstore.Version, []registry.Endpoint) {
	var list []registry.Endpoint
	for _, o := range s.Contents(objectstore.KindEndpoint) {
		if e, ok := decode(o); ok {
			list = append(list, e)
		}
	}
	_, version, err := s.List(context.Background(), objectstore.KindEndpoint)
	if err != nil {
		s.t.Fatal(err)
	}
	return version, list
}

// list tells a host the endpoints.
func (s *onlySite) list(h *host) {
	_, list := s.endpoints()
	var known []registry.Known
	for _, e := range list {
		known = append(known, registry.Known{Endpoint: e})
	}
	h.Table.SetEndpoints(h.now, known)
}

// write has a host with a stream store what it knows.
func (s *onlySite) write() {
	s.t.Helper()
	h := s.start(true)
	h.begin(1)
	if err := h.writeOnly(context.Background()); err != nil {
		s.t.Fatal(err)
	}
}

// certain reports whether a host that starts knows that all streams began at the one version.
func (s *onlySite) certain() bool {
	s.t.Helper()
	h := s.start(false)
	if !h.load(context.Background()) {
		s.t.Fatal("not read")
	}
	version, certain := h.Table.OnlyVersion(h.now, "f")
	return certain && version == "v1"
}

func TestOneVersionOutlastsAllHosts(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	is.True(!s.certain()) // nothing is stored
	s.write()
	is.True(s.certain())
	s.put("other", "v1")
	s.Remove(objectstore.KindEndpoint, "e")
	s.Put(objectstore.KindEndpoint, "garbage", []byte("?"))
	is.True(s.certain())
	s.write() // replaced
	is.True(s.certain())
}

// TestAnotherVersionSinceIsNotOverlooked has endpoints of another version come, and leave again, after the record
// was written.
func TestAnotherVersionSinceIsNotOverlooked(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	s.write()
	s.put("other", "v2")
	is.True(!s.certain())
	s.Remove(objectstore.KindEndpoint, "other")
	is.True(!s.certain())
}

// TestListThatIsNewerThanTheTable has another version listed of which the table was not told.
func TestListThatIsNewerThanTheTable(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	h := s.start(true)
	h.begin(1)
	s.put("other", "v2")
	is.NoErr(h.writeOnly(context.Background()))
	is.Equal(len(s.Contents(objectstore.KindOrigins)), 0)
}

func TestForgottenHistoryMakesVersionsUnknown(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	s.write()
	for range 30 {
		s.put("e", "v1")
	}
	is.True(!s.certain())
}

// TestVersionsAfterARestore takes the store back to a copy from before a version came that has left since.
func TestVersionsAfterARestore(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	s.write()
	copied := s.Snapshot()
	s.put("other", "v2")
	s.put("e", "v1")
	s.Restore(copied)
	era := era{s.Store}
	h := s.start(false)
	h.Store = era
	is.True(h.load(context.Background()))
	_, certain := h.Table.OnlyVersion(h.now, "f")
	is.True(!certain)
}

// era is a store that refuses watches from before its last restore, as the platform's client does.
type era struct{ *standin.Store }

// Watch implements objectstore.Store.
func (e era) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	if after.Era() < e.Era() {
		return nil, 0, objectstore.ErrCompacted
	}
	return e.Store.Watch(ctx, kind, after)
}

// TestNothingIsWrittenWithoutNeed checks that hosts write no record while no streams begin, while a fleet may have
// had several versions, and if another host writes it.
func TestNothingIsWrittenWithoutNeed(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	idle, young, other := s.start(true), s.start(false), s.start(true)
	young.begin(1)
	other.begin(1)
	other.Sweeps = func() bool { return false }
	for _, h := range []*host{idle, young, other} {
		is.NoErr(h.writeOnly(context.Background()))
	}
	is.Equal(len(s.Contents(objectstore.KindOrigins)), 0)
}

// TestReplayIsRepeated has the store answer only after some calls.
func TestReplayIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	s.write()
	h := s.start(false)
	flaky := &flakyWatch{Store: s.Store, failures: 2}
	h.Store = flaky
	is.True(h.load(context.Background()))
	_, certain := h.Table.OnlyVersion(h.now, "f")
	is.True(certain)
	is.Equal(flaky.failures, 0)
}

// flakyWatch is a store that leaves some watches without an answer.
type flakyWatch struct {
	*standin.Store
	failures int
}

// Watch implements objectstore.Store.
func (f *flakyWatch) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	if f.failures > 0 {
		f.failures--
		return nil, 0, objectstore.ErrUnavailable
	}
	return f.Store.Watch(ctx, kind, after)
}

// TestSweepLeavesTheVersions checks that the record of versions is not taken for an expired part.
func TestSweepLeavesTheVersions(t *testing.T) {
	is := is.New(t)
	s := newOnlySite(t)
	s.write()
	h := s.start(false)
	h.now = h.now.Add(time.Hour)
	h.sweep(context.Background())
	is.True(s.certain())
}
