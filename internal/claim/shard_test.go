package claim

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests unless a flag on the command line sets another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// maxFrameBytes bounds the JSON around records and fingerprints.
const maxFrameBytes = 80

// TestShardProperty applies random groups to a small shard over several days and checks every grant
// against a model: no key is granted twice within FingerprintTTL, unless the claim was withdrawn.
func TestShardProperty(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		shard := NewShard()
		shard.maxBytes = 2200
		shard.sealThresholdBytes = 300
		shard.mergeThreshold = 2
		now := time.Unix(1_800_000_000, 0)
		used := map[Key]time.Time{}
		holder := map[Key]string{}
		serial := 0
		for range rapid.IntRange(1, 60).Draw(t, "groups") {
			steps := []time.Duration{0, time.Second, UnknownAfter, RecordTTL, 2 * time.Hour, 26 * time.Hour}
			now = now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			ops := drawGroup(t, holder, &serial)
			applied, err := shard.Apply(ops, Env{Now: now})
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "write") == 0 {
				seen["write failed"]++
				continue
			}
			for i, op := range ops {
				kind := applied.Results[i].Kind
				seen[string(op.Kind)+" "+string(kind)]++
				at, found := used[op.Key]
				switch {
				case kind == Granted && found && now.Sub(at) < FingerprintTTL:
					t.Fatalf("%v granted twice", op.Key)
				case kind == Granted:
					used[op.Key], holder[op.Key] = now, op.Attempt
				case op.Kind == OpWithdraw && kind == Recorded && holder[op.Key] == op.Attempt:
					delete(used, op.Key)
				}
			}
			shard = applied.Shard
			if c, due := shard.compact(now); due {
				serial++
				seen[fmt.Sprint("compacted, merged=", c.merged)]++
				before := shard
				shard = c.with(fmt.Sprint("segment", serial))
				if err := verifyCompaction(before, shard); err != nil {
					t.Fatal(err)
				}
			}
			shard = checkStored(t, shard)
		}
	})
	for _, what := range []string{"write failed", "acquire granted", "acquire completed", "acquire in-progress",
		"acquire unknown", "acquire expired", "acquire refused", "complete recorded", "complete ignored",
		"withdraw recorded", "withdraw ignored",
		"compacted, merged=false", "compacted, merged=true"} {
		if seen[what] == 0 {
			t.Errorf("never happened: %s", what)
		}
	}
}

// drawGroup draws random operations. Claims are by new attempts, and reports by the attempt that was
// last granted the key, if there is one.
func drawGroup(t *rapid.T, holder map[Key]string, serial *int) []Op {
	ops := make([]Op, rapid.IntRange(1, 6).Draw(t, "ops"))
	kinds := []OpKind{OpAcquire, OpAcquire, OpAcquire, OpComplete, OpWithdraw}
	for i := range ops {
		key := testKey(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "key")))
		op := Op{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Key: key, Writer: "w", Status: 200}
		op.Attempt = holder[key]
		if op.Kind == OpAcquire || op.Attempt == "" {
			*serial++
			op.Attempt = fmt.Sprint("a", *serial)
		}
		op.Body = make([]byte, rapid.SampledFrom([]int{0, 10, 900}).Draw(t, "body"))
		ops[i] = op
	}
	return ops
}

// checkStored checks the encoded form and its size bound, and returns the decoded value.
func checkStored(t *rapid.T, shard *Shard) *Shard {
	value, err := shard.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > shard.size()+maxFrameBytes {
		t.Fatalf("%d bytes encoded, bound is %d", len(value), shard.size()+maxFrameBytes)
	}
	back, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	back.maxBytes, back.sealThresholdBytes, back.mergeThreshold = shard.maxBytes, shard.sealThresholdBytes, shard.mergeThreshold
	for i, seg := range shard.segments {
		back.segments[i].content = checkStored(t, seg.content)
	}
	again, _ := back.Encode()
	if !reflect.DeepEqual(value, again) {
		t.Fatalf("read back as\n%s\nwant\n%s", again, value)
	}
	return back
}

func TestOldUUIDv7IsExpired(t *testing.T) {
	is := is.New(t)
	id := uuid.Must(uuid.NewV7())
	key := testKey(id.String())
	op := Op{Kind: OpAcquire, Key: key, Attempt: "a", Writer: "w"}
	for _, c := range []struct {
		age  time.Duration
		want ResultKind
	}{
		{0, Granted},
		{FingerprintTTL - 2*MaxClockSkew, Granted},
		{FingerprintTTL - MaxClockSkew + time.Second, Expired},
		{100 * FingerprintTTL, Expired},
	} {
		applied, err := NewShard().Apply([]Op{op}, Env{Now: time.Now().Add(c.age)})
		is.NoErr(err)
		is.Equal(applied.Results[0].Kind, c.want)
		is.Equal(applied.Changed, c.want == Granted)
	}
}
