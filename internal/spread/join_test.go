package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/member"
)

// TestStartLearnsTheMembersOfEverySeed has two seeds that know different members and
// answer at the same time.
func TestStartLearnsTheMembersOfEverySeed(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rnd := rand.New(rand.NewPCG(1, 1))
	peers := map[string]*Machine{}
	for _, name := range []string{"a", "b", "c", "d"} {
		peers[name] = New(Settings{Self: member.Member{Name: name, Address: name, Incarnation: 1}})
	}
	peers["a"].LocalMember(now, rnd, peers["d"].Self())
	peers["b"].LocalMember(now, rnd, peers["c"].Self())
	peers["c"].LocalConfiguration(now, rnd, 7, []byte("seven"))

	m := New(Settings{Self: member.Member{Name: "m", Address: "m", Incarnation: 1}, Seeds: []string{"a", "b"}})
	pending := m.Tick(now, rnd).Sends
	for len(pending) > 0 {
		// Everything on its way is answered before any answer arrives.
		replies := make([]Message, len(pending))
		for i, s := range pending {
			replies[i], _ = peers[s.To].Receive(now, rnd, s.Message)
		}
		var next []Send
		for i, s := range pending {
			next = append(next, m.Answer(now, rnd, s, replies[i]).Sends...)
		}
		pending = next
	}
	generation, _ := m.Configuration()
	is.True(m.Ready())
	is.Equal(len(m.Members()), 5)
	is.Equal(int(generation), 7)
}
