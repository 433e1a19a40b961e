package heartbeat

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/relay"
)

// groupOf returns a leader that hears followers and other leaders, which name hosts of their own groups.
func groupOf(now time.Time, followers, leaders int) *Table {
	t := NewTable(now, Peer{Name: "a0", Address: "10.0.0.1:1", DataCentre: "a", MemoryBytes: 1 << 30})
	for i := range followers {
		t.HandleReport(now, &Report{Peer: Peer{Name: fmt.Sprint("a", i+1), Address: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "a"},
			Number: 1, Leader: "a0"})
	}
	for i := range leaders {
		name := fmt.Sprint("l", i)
		r := &Report{Peer: Peer{Name: name, Address: fmt.Sprintf("10.0.2.%d:1", i), DataCentre: name}, Number: 1, Leader: name}
		for m := range 40 {
			r.Members = append(r.Members, fmt.Sprint(name, "-", m))
		}
		t.HandleReport(now, r)
	}
	return t
}

func TestHostsWithoutLinksAreNoRelayPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(now, Peer{Name: "h0"})
	for i := range 3 {
		r := &Report{Peer: Peer{Name: fmt.Sprint("h", i+1)}, Number: 1}
		if i == 0 {
			r.LostFleets = []string{"f"}
		}
		table.HandleReport(now, r)
	}
	is.Equal(len(table.RelayPeers(now, "f")), 2)
	is.Equal(len(table.RelayPeers(now, "other")), 3)
	is.Equal(len(table.RelayPeers(now.Add(time.Minute), "f")), 0) // no longer heard
}

func TestGroupsNameRelayPeersOnlyWhileLinksAreLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := groupOf(now, 30, 5)
	is.Equal(len(table.DigestRelayPeers(now, 1)), 0)
	peers, lost := table.ReportedRelayPeers(now, 1)
	is.Equal(len(peers), 0)
	is.True(!lost)
	table.HandleReport(now, &Report{Peer: Peer{Name: "a1", DataCentre: "a"}, Number: 2, Leader: "a0", LostFleets: []string{"f"}})
	peers, lost = table.ReportedRelayPeers(now, 1)
	is.Equal(len(peers), maxRelayPeers)
	is.True(lost)
	is.Equal(len(table.DigestRelayPeers(now, 1)), maxRelayPeers)
}

// TestOneGroupWithLinksServesAllOthers has all hosts of a leader's own group lose their links.
func TestOneGroupWithLinksServesAllOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := groupOf(now, 30, 1)
	lost := []string{"f"}
	table.SetLostFleets(lost)
	for i := range 30 {
		table.HandleReport(now, &Report{Peer: Peer{Name: fmt.Sprint("a", i+1), DataCentre: "a"}, Number: 2, Leader: "a0", LostFleets: lost})
	}
	helper := relay.Peer{Name: "l0-7", Address: "10.0.3.7:1"}
	table.HandleReport(now, &Report{Peer: Peer{Name: "l0", DataCentre: "l0"}, Number: 2, Leader: "l0", LostFleets: lost,
		GroupLostLinks: true, RelayPeers: []relay.Peer{helper}})
	digest := table.DigestRelayPeers(now, 1)
	is.Equal(digest, []relay.Peer{helper})
	follower := NewTable(now, Peer{Name: "a9", DataCentre: "a"})
	for i := range 20 { // too many for a full mesh
		follower.HandleReport(now, &Report{Peer: Peer{Name: fmt.Sprint("x", i)}, Number: 1})
	}
	follower.HandleDigest(now, &Digest{Peer: Peer{Name: "a0", DataCentre: "a", MemoryBytes: 1 << 30}, Number: 1, Known: 62, RelayPeers: digest})
	is.Equal(follower.RelayPeers(now, "f"), []relay.Peer{helper})
}

// TestRelayPeersOfAMessageAreBounded holds that messages do not grow with the hosts that have lost links.
func TestRelayPeersOfAMessageAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := groupOf(now, 60, 6)
	for i := range 30 {
		table.HandleReport(now, &Report{Peer: Peer{Name: fmt.Sprint("a", i+1), DataCentre: "a"}, Number: 2, Leader: "a0", LostFleets: []string{"f"}})
	}
	for random := range uint64(20) {
		text, err := json.Marshal(table.DigestRelayPeers(now, random))
		is.NoErr(err)
		is.True(len(text) < 1024)
	}
}
