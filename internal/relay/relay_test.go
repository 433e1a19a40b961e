package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func peers(names ...string) []Peer {
	var list []Peer
	for _, name := range names {
		list = append(list, Peer{Name: name, Address: name, DataCentre: name[:1]})
	}
	return list
}

func TestPeersOfTheOwnDataCentreComeFirst(t *testing.T) {
	is := is.New(t)
	p := NewPicker("b")
	for random := range uint64(50) {
		got, ok := p.Pick(epoch, random, "f", peers("a1", "b1", "a2", "b2"), nil)
		is.True(ok)
		is.Equal(got.DataCentre, "b")
	}
}

func TestPeersThatFailedComeLastForAWhile(t *testing.T) {
	is := is.New(t)
	p := NewPicker("b")
	p.Failed(epoch, "b1", "f")
	got, _ := p.Pick(epoch, 1, "f", peers("a1", "b1"), nil)
	is.Equal(got.Name, "a1")
	got, _ = p.Pick(epoch, 1, "other fleet", peers("a1", "b1"), nil)
	is.Equal(got.Name, "b1")
	got, _ = p.Pick(epoch, 1, "f", peers("b1"), nil) // the only one
	is.Equal(got.Name, "b1")
	got, _ = p.Pick(epoch.Add(failureRetention), 1, "f", peers("a1", "b1"), nil)
	is.Equal(got.Name, "b1")
	_, ok := p.Pick(epoch, 1, "f", peers("a1", "b1"), []string{"a1", "b1"})
	is.True(!ok)
}

func TestRequestsAreSpreadOverPeers(t *testing.T) {
	is := is.New(t)
	p, got := NewPicker("z"), map[string]int{}
	for random := range uint64(3000) {
		peer, _ := p.Pick(epoch, random, "f", peers("a1", "a2", "a3"), nil)
		got[peer.Name]++
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		is.True(got[name] > 800)
	}
}

func TestMessagesAreReadAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			From: "h", Fleet: rapid.String().Draw(t, "fleet"), Version: rapid.String().Draw(t, "version"),
			TimeoutMillis: rapid.Int64().Draw(t, "timeout"), LastEventID: rapid.String().Draw(t, "event"),
			Exclude: rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, "exclude"),
		}
		got, err := DecodeRequest([]byte(Encode(r)))
		if err != nil || Encode(got) != Encode(r) {
			t.Fatal(got, r, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(Encode(Request{From: "h", Fleet: "f"})))
	f.Add([]byte(Encode(Response{Result: Answered, Endpoint: "e"})))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := DecodeRequest(text); err == nil && r.From == "" {
			t.Fatal("no sender")
		}
		_, _ = DecodeResponse(text)
	})
}
