package objectstore

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestVersionsAreOrderedByEraAndRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, 1<<19)
		revision := rapid.Uint64Range(0, 1<<revisionBits-1)
		e1, r1 := era.Draw(t, "era"), revision.Draw(t, "revision")
		e2, r2 := era.Draw(t, "other era"), revision.Draw(t, "other revision")
		v1, v2 := NewVersion(e1, r1), NewVersion(e2, r2)
		if v1.Era() != e1 || v1.Revision() != r1 {
			t.Fatalf("%d.%d became %s", e1, r1, v1)
		}
		if older := e1 < e2 || e1 == e2 && r1 < r2; older != (v1 < v2) {
			t.Fatalf("%s < %s is %t", v1, v2, v1 < v2)
		}
	})
}

func TestAnswersOfAnOlderEraAreDropped(t *testing.T) {
	is := is.New(t)
	var tracker EraTracker
	var restores [][2]uint64
	tracker.OnRestore(func(from, to uint64) { restores = append(restores, [2]uint64{from, to}) })
	is.NoErr(tracker.Observe(3)) // the first answer shows no restore
	is.NoErr(tracker.Observe(3))
	is.NoErr(tracker.Observe(4))
	is.True(errors.Is(tracker.Observe(3), ErrUnavailable))
	era, known := tracker.Era()
	is.Equal(era, uint64(4))
	is.True(known)
	is.Equal(restores, [][2]uint64{{3, 4}})
	is.True(errors.Is(tracker.CheckCondition(NewVersion(3, 9)), ErrConflict))
	is.NoErr(tracker.CheckCondition(NewVersion(4, 2)))
	is.True(errors.Is(tracker.CheckWatch(NewVersion(3, 9)), ErrCompacted))
	is.NoErr(tracker.CheckWatch(NewVersion(4, 2)))
}
