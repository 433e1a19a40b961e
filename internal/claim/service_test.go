package claim

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func testKey(name string) Key {
	return Key{Organisation: "org", IdempotencyKey: name, Method: "POST", Path: "/renew/fee"}
}

func TestSingleNode(t *testing.T) {
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
	is.NoErr(s.Release(ctx, testKey("k2"), "t4"))
	is.Equal(s.Acquire(ctx, testKey("k2"), "t5").Kind, Granted)
	is.Equal(s.Release(ctx, testKey("k2"), "t4"), nil)
	is.Equal(s.Acquire(ctx, testKey("k2"), "t6").Kind, InProgress)
}
