package gossip

import (
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/membership"
)

// MessageKind tells what the sender wants.
type MessageKind string

// The kinds of message. Each is answered by one message of the same kind.
const (
	// KindExchange compares the two nodes' states by hash; the answer carries the
	// hashes of the buckets when the tables differ.
	KindExchange MessageKind = "exchange"
	// KindDelta sends the records of differing buckets; the answer carries the
	// receiver's records of the same buckets.
	KindDelta MessageKind = "delta"
	// KindPush sends new records; the answer carries none.
	KindPush MessageKind = "push"
	// KindFetch asks for the configuration if the receiver has a newer one.
	KindFetch MessageKind = "fetch"
	// KindProbe asks the receiver to contact Target and report by KindProbeOK.
	KindProbe MessageKind = "probe"
	// KindProbeOK says that Target answered.
	KindProbeOK MessageKind = "probe-ok"
)

// Bounds of a message.
const (
	// MaxMessageBytes is the size of the largest encoded message.
	MaxMessageBytes = 2 << 20
	// MaxRecords is the number of records, of members and hosts together, in a message.
	MaxRecords = 4096
	// MaxTextBytes is the size of the largest configuration text.
	MaxTextBytes = 1 << 20
)

// Digest stands for all that a node knows.
type Digest struct {
	Generation fleet.Generation `json:"generation"`
	Members    uint64           `json:"members"`
	Hosts      uint64           `json:"hosts"`
}

// Message is what nodes exchange. Every message and answer carries From and Digest.
type Message struct {
	Kind   MessageKind       `json:"kind"`
	From   membership.Member `json:"from"`
	Digest Digest            `json:"digest"`
	// MemberBuckets and HostBuckets are the hashes of the sender's buckets.
	MemberBuckets []byte `json:"member_buckets,omitempty"`
	HostBuckets   []byte `json:"host_buckets,omitempty"`
	// WantMembers and WantHosts list the buckets that a delta is about.
	WantMembers   []int                    `json:"want_members,omitempty"`
	WantHosts     []int                    `json:"want_hosts,omitempty"`
	Hosts         []HostRecord             `json:"hosts,omitempty"`
	Members       []membership.Member      `json:"members,omitempty"`
	Target        *membership.Member       `json:"target,omitempty"`
	Configuration *CompressedConfiguration `json:"text,omitempty"`
}

// CompressedConfiguration is a configuration on its way between nodes.
type CompressedConfiguration struct {
	Generation fleet.Generation `json:"generation"`
	Gzip       []byte           `json:"gzip"`
}

// HostRecord is a host's state as nodes pass it on.
type HostRecord struct {
	fleet.HostState
	// GoneMillis is when the host was found gone, in Unix milliseconds; zero before.
	GoneMillis int64 `json:"gone_ms,omitempty"`
}

// Send is a message to be sent; the answer or the failure is handed back to the
// machine together with it.
type Send struct {
	// To is the address of the peers' listener.
	To string
	// Name is the member's name, where it is known.
	Name    string
	Message Message
	// Urgent sends go before all others.
	Urgent bool
	// origin is the member on whose behalf this one is contacted.
	origin string
	// attempt counts the repetitions of the same question, from zero.
	attempt int
}

// Event tells the node's other parts what changed.
type Event interface{ event() }

// ConfigurationInForce says that a newer configuration is in force from now on.
type ConfigurationInForce struct {
	Generation fleet.Generation
	Text       []byte
}

// HostStateChanged says that a host moved to a later phase, or that its deadline is known.
type HostStateChanged struct {
	State fleet.HostState
}

// MemberChanged says that a member's record or liveness changed.
type MemberChanged struct {
	membership.Change
}

func (ConfigurationInForce) event() {}
func (HostStateChanged) event()     {}
func (MemberChanged) event()        {}

// Output is what the machine wants done.
type Output struct {
	Messages []Send
	Events   []Event
	// FlushAfter, if not zero, asks for a call of Flush after that time.
	FlushAfter time.Duration
}

func (o *Output) add(other Output) {
	o.Messages = append(o.Messages, other.Messages...)
	o.Events = append(o.Events, other.Events...)
	o.FlushAfter = max(o.FlushAfter, other.FlushAfter)
}
