package gossip

import (
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/membership"
)

// MessageKind is the purpose of a message.
type MessageKind string

// The kinds of message. Each message gets a reply of the same kind. A reply of any kind also
// carries the receiver's record of the sender if it differs from the sender's own.
const (
	// KindExchange compares the states of two nodes by hash. The reply carries the bucket
	// hashes of each table that differs. Both also carry the records of the hosts that were
	// recently learned to be leaving or gone.
	KindExchange MessageKind = "exchange"
	// KindDelta sends the records of differing buckets. The reply carries those of the
	// receiver's records in the same buckets that differ from the sender's or that the sender
	// lacks.
	KindDelta MessageKind = "delta"
	// KindPush sends changed records, or only From and Digest if a new configuration has become
	// active: the receiver then fetches it.
	KindPush MessageKind = "push"
	// KindFetch requests the configuration if the receiver has a newer one.
	KindFetch MessageKind = "fetch"
	// KindProbe asks the receiver to contact Target and to report success with KindProbeOK.
	KindProbe MessageKind = "probe"
	// KindProbeOK reports that Target replied.
	KindProbeOK MessageKind = "probe-ok"
)

// Limits on the size of a message.
const (
	// MaxRecords is the maximum number of member and host records, taken together, in a push or
	// a delta. Replies to deltas are not limited.
	MaxRecords = 4096
	// MaxTextBytes is the maximum size of a configuration text.
	MaxTextBytes = 1 << 20
)

// Digest summarises the state of a node: the generation of its configuration and a hash per
// table.
type Digest struct {
	Generation fleet.Generation `json:"generation"`
	Members    uint64           `json:"members"`
	Hosts      uint64           `json:"hosts"`
}

// Message is sent between nodes. Every message and reply carries From and Digest.
type Message struct {
	Kind   MessageKind       `json:"kind"`
	From   membership.Member `json:"from"`
	Digest Digest            `json:"digest"`
	// MemberBuckets and HostBuckets are the hashes of the sender's buckets, in the reply to an
	// exchange.
	MemberBuckets []byte `json:"member_buckets,omitempty"`
	HostBuckets   []byte `json:"host_buckets,omitempty"`
	// WantMembers and WantHosts list the buckets that a delta concerns.
	WantMembers   []int                    `json:"want_members,omitempty"`
	WantHosts     []int                    `json:"want_hosts,omitempty"`
	Hosts         []HostRecord             `json:"hosts,omitempty"`
	Members       []membership.Member      `json:"members,omitempty"`
	Target        *membership.Member       `json:"target,omitempty"`
	Configuration *CompressedConfiguration `json:"text,omitempty"`
}

// CompressedConfiguration is a configuration as it is sent between nodes.
type CompressedConfiguration struct {
	Generation fleet.Generation `json:"generation"`
	Gzip       []byte           `json:"gzip"`
}

// HostRecord is a host's state as nodes exchange it.
type HostRecord struct {
	fleet.HostState
	// GoneMillis is when the host was found to be gone, in Unix milliseconds and rounded down to the
	// minute; zero before that.
	GoneMillis int64 `json:"gone_ms,omitempty"`
}

// Send is an outbound message. It is handed back to the machine together with the reply, or when
// it failed or was dropped.
type Send struct {
	// To is the address of the peer's listener.
	To string
	// Name is the receiver's member name, if it is known.
	Name    string
	Message Message
	// Urgent messages are sent by a worker pool of their own, so that they do not queue behind
	// others.
	Urgent bool
	// origin is the address of the member on whose behalf the receiver is probed; empty for all
	// other messages.
	origin string
	// attempt is how often the same request was sent before.
	attempt int
}

// Event notifies the other parts of the node of a change.
type Event interface{ event() }

// ConfigurationInForce reports that a newer configuration has become active.
type ConfigurationInForce struct {
	Generation fleet.Generation
	Text       []byte
}

// HostStateChanged reports that a run of a host became known or entered a later phase, that its
// first or an earlier deadline became known, or that it was found gone earlier than known before.
type HostStateChanged struct {
	State fleet.HostState
}

// MemberChanged reports that a member's record or liveness changed.
type MemberChanged struct {
	membership.Change
}

func (ConfigurationInForce) event() {}
func (HostStateChanged) event()     {}
func (MemberChanged) event()        {}

// Output is the result of a step of the machine: messages to send and events to report.
type Output struct {
	Messages []Send
	Events   []Event
	// FlushAfter, if not zero, requests a call of Flush after this delay.
	FlushAfter time.Duration
}

func (o *Output) add(other Output) {
	o.Messages = append(o.Messages, other.Messages...)
	o.Events = append(o.Events, other.Events...)
	o.FlushAfter = max(o.FlushAfter, other.FlushAfter)
}
