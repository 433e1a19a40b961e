package app

import (
	"context"
	"encoding/json"

	"rattanchute/internal/adapter/operators"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/membership"
)

// The paths of requests that a daemon sends to another on behalf of an operator.
const (
	pathStatus = "/peer/v1/status"
	pathDrain  = "/peer/v1/drain"
)

// Members implements operators.Backend.
func (b *backend) Members(ctx context.Context) []api.Member {
	live := b.app.gossip.Members()
	list := make([]api.Member, 0, len(live))
	for _, m := range live {
		list = append(list, newMember(m))
	}
	return operators.Gather(ctx, list, b.fetchStatus)
}

func newMember(m membership.Member) api.Member {
	state := api.MemberLive
	if m.State == membership.StateSuspect {
		state = api.MemberSuspect
	}
	return api.Member{Node: m.Name, DataCentre: m.DataCentre, Address: m.Address, State: state}
}

// fetchStatus returns the status of a member, which may be this daemon itself.
func (b *backend) fetchStatus(ctx context.Context, m api.Member) (api.Status, error) {
	if m.Node == b.app.settings.Node {
		return b.Status(), nil
	}
	var status api.Status
	err := b.app.peerHTTP.Post(ctx, m.Address, pathStatus, struct{}{}, &status)
	return status, err
}

// Drain implements operators.Backend.
func (b *backend) Drain(ctx context.Context, node string) (api.Status, error) {
	if node == b.app.settings.Node {
		b.app.Drain()
		return b.Status(), nil
	}
	for _, m := range b.app.gossip.Members() {
		if m.Name != node {
			continue
		}
		var status api.Status
		err := b.app.peerHTTP.Post(ctx, m.Address, pathDrain, struct{}{}, &status)
		return status, err
	}
	return api.Status{}, operators.ErrUnknownNode
}

func (b *backend) handleStatus(context.Context, []byte) ([]byte, error) {
	return json.Marshal(b.Status())
}

func (b *backend) handleDrain(context.Context, []byte) ([]byte, error) {
	b.app.Drain()
	return json.Marshal(b.Status())
}
