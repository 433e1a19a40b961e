package change

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"rattanchute/internal/platform"
)

// fault is what happens to one call of the fake store.
type fault int

const (
	faultNone fault = iota
	faultRefused
	faultLostBefore
	faultLostAfter
	faultDelayed
	faultThrottled
	faultKinds
)

// fakeStore keeps objects in memory and injects the fault that pick returns.
type fakeStore struct {
	objects map[string]platform.Object
	version uint64
	delayed []func()
	// pick chooses the fault of a write, or of a read when write is false.
	pick func(write bool) fault
	// observe sees each stored object.
	observe func(platform.Object)
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		objects: map[string]platform.Object{},
		pick:    func(bool) fault { return faultNone },
		observe: func(platform.Object) {},
	}
}

func key(kind platform.Kind, name string) string {
	return string(kind) + "/" + name
}

// settle lets all delayed writes arrive.
func (s *fakeStore) settle() {
	arrived := s.delayed
	s.delayed = nil
	for _, write := range arrived {
		write()
	}
}

func (s *fakeStore) write(apply func() (platform.Object, error)) (platform.Object, error) {
	switch s.pick(true) {
	case faultThrottled:
		return platform.Object{}, platform.ErrThrottled
	case faultRefused, faultLostBefore:
		return platform.Object{}, platform.ErrUnavailable
	case faultLostAfter:
		_, _ = apply()
		return platform.Object{}, platform.ErrUnavailable
	case faultDelayed:
		s.delayed = append(s.delayed, func() { _, _ = apply() })
		return platform.Object{}, platform.ErrUnavailable
	}
	return apply()
}

func (s *fakeStore) put(o platform.Object) (platform.Object, error) {
	if len(o.Value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	s.version++
	o.Version = s.version
	s.objects[key(o.Kind, o.Name)] = o
	s.observe(o)
	return o, nil
}

func (s *fakeStore) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if s.pick(false) != faultNone {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, found := s.objects[key(kind, name)]
	if !found {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Create(_ context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	return s.write(func() (platform.Object, error) {
		if _, found := s.objects[key(kind, name)]; found {
			return platform.Object{}, platform.ErrConflict
		}
		return s.put(platform.Object{Kind: kind, Name: name, Value: slices.Clone(value)})
	})
}

func (s *fakeStore) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	return s.write(func() (platform.Object, error) {
		if s.objects[key(o.Kind, o.Name)].Version != o.Version {
			return platform.Object{}, platform.ErrConflict
		}
		return s.put(o)
	})
}

func (s *fakeStore) Delete(_ context.Context, o platform.Object) error {
	delete(s.objects, key(o.Kind, o.Name))
	return nil
}

func (s *fakeStore) List(_ context.Context, kind platform.Kind) ([]platform.Object, uint64, error) {
	var all []platform.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, string(kind)+"/") {
			all = append(all, o)
		}
	}
	return all, s.version, nil
}

func (s *fakeStore) Watch(context.Context, platform.Kind, uint64) ([]platform.Event, uint64, error) {
	return nil, s.version, platform.ErrUnavailable
}
