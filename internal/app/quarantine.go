package app

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"rattanchute/internal/membership"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/keeper"
)

const (
	// pathQuarantine is the path of messages about requests that crash endpoints.
	pathQuarantine = "/peer/v1/quarantine"
	// quarantineInterval is the time between two rounds of such messages.
	quarantineInterval = 250 * time.Millisecond
	// quarantineFanout is the number of members that are sent a recent crash in each round.
	quarantineFanout = 3
	// quarantineIdleRounds is the number of rounds for one message while there was no crash lately.
	quarantineIdleRounds = 8
	// quarantineTimeout bounds one message.
	quarantineTimeout = 500 * time.Millisecond
	// quarantineDuty is the duty of probing quarantined requests and of storing the quarantines.
	quarantineDuty = membership.Duty("quarantine")
)

// quarantineMessage tells a daemon what another one knows of requests that crash endpoints.
type quarantineMessage struct {
	From   string             `json:"from"`
	Report *quarantine.Report `json:"report,omitempty"`
}

func (a *App) buildQuarantine() error {
	a.quarantineKeeper = keeper.New(keeper.Config{
		Table:     a.quarantine,
		Store:     a.store,
		Now:       time.Now,
		WallClock: func(t time.Time) time.Time { return t },
		Writes:    a.mayProbe,
		Log:       a.log,
	})
	a.peers.Handle(pathQuarantine, a.handleQuarantine)
	return nil
}

// mayProbe reports whether this daemon may probe quarantined requests.
func (a *App) mayProbe() bool { return a.gossip.Owns(quarantineDuty) }

// keepQuarantine reads the stored quarantines, and stores each change until a.stop is closed.
func (a *App) keepQuarantine() {
	ctx, cancel := context.WithCancel(context.Background())
	a.tasks.Add(2)
	go func() {
		defer a.tasks.Done()
		<-a.stop
		cancel()
	}()
	go func() {
		defer a.tasks.Done()
		a.quarantineKeeper.Run(ctx)
	}()
}

// shareQuarantine logs what has changed, and tells some members what is known. Their replies say what they
// know.
func (a *App) shareQuarantine() {
	a.quarantineKeeper.LogChanges()
	a.quarantineRound++
	report := a.quarantine.Report(time.Now())
	if report == nil {
		return
	}
	fanout := quarantineFanout
	if len(report.Crashes)+len(report.Cleared) == 0 {
		if a.quarantineRound%quarantineIdleRounds != 0 {
			return
		}
		fanout = 1
	}
	for _, m := range a.randomPeers(fanout) {
		a.pool.Submit(func() { a.sendQuarantine(m, report) })
	}
}

// randomPeers returns up to n other members.
func (a *App) randomPeers(n int) []membership.Member {
	var peers []membership.Member
	for _, m := range a.gossip.Members() {
		if m.Name != a.settings.Node {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// sendQuarantine exchanges reports with a member. An error is ignored: the next round tells others.
func (a *App) sendQuarantine(m membership.Member, report *quarantine.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	var reply quarantineMessage
	message := quarantineMessage{From: a.settings.Node, Report: report}
	if err := a.peerHTTP.Post(ctx, m.Address, pathQuarantine, message, &reply); err != nil {
		return
	}
	a.quarantine.Apply(time.Now(), reply.From, reply.Report)
}

func (a *App) handleQuarantine(_ context.Context, body []byte) ([]byte, error) {
	var in quarantineMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	now := time.Now()
	a.quarantine.Apply(now, in.From, in.Report)
	return json.Marshal(quarantineMessage{From: a.settings.Node, Report: a.quarantine.Report(now)})
}
