package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/membership"
)

// TestJoinLearnsMembersOfEverySeed starts a node with two seeds that know different members and
// reply at the same time. Only one delta is in flight at a time, so the node must contact the
// second seed again.
func TestJoinLearnsMembersOfEverySeed(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rnd := rand.New(rand.NewPCG(1, 1))
	peers := map[string]*StateMachine{}
	for _, name := range []string{"a", "b", "c", "d"} {
		peers[name] = New(Settings{Self: membership.Member{Name: name, Address: name, Incarnation: 1}})
	}
	peers["a"].ObserveMember(now, rnd, peers["d"].Self())
	peers["b"].ObserveMember(now, rnd, peers["c"].Self())
	peers["c"].ObserveConfiguration(now, rnd, 7, []byte("seven"))

	m := New(Settings{Self: membership.Member{Name: "m", Address: "m", Incarnation: 1}, Seeds: []string{"a", "b"}})
	pending := m.Tick(now, rnd).Messages
	for len(pending) > 0 {
		// All requests in flight are processed before any reply is delivered.
		replies := make([]Message, len(pending))
		for i, s := range pending {
			replies[i], _ = peers[s.To].HandleMessage(now, rnd, s.Message)
		}
		var next []Send
		for i, s := range pending {
			next = append(next, m.HandleReply(now, rnd, s, replies[i]).Messages...)
		}
		pending = next
	}
	generation, _ := m.Configuration()
	is.True(m.Ready())
	is.Equal(len(m.Members()), 5)
	is.Equal(int(generation), 7)
}
