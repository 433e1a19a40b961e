// Package heartbeat defines the small datagrams that the entry hosts send each other, up to four
// times per second, decides which hosts they go to, and keeps what they say about the hosts.
//
// A small number of hosts (at most maxFullMeshHosts) forms a full mesh: each sends its report to
// all others. If there are more, each host either follows another host of its data centre, its
// leader, or is a leader itself. A leader and its followers form a group. Followers send their
// reports only to their leader, apart from probes of hosts that did not respond and reports to
// their whole data centre shortly after the start. The leader aggregates the reports, exchanges
// reports with the leaders of the other groups, and sends its followers digests of what all
// hosts report. The traffic of a host therefore grows with the size of its data centre and the
// number of data centres, not with their product.
//
// Leaders are not elected. The hosts of a data centre have a fixed order, and each host follows
// the earliest host before itself in that order that responds. Because hosts only follow hosts
// before them, there are no cycles. A host follows no other if none before it responds, or if it
// holds the lease of the singleton duties.
//
// Messages may be lost, delayed or duplicated, and may stop at any time; without them a host
// decides from what it knows itself. The package performs no I/O.
//
// It connects the entry hosts that package node builds. The daemons that package app builds use
// packages gossip and membership instead.
package heartbeat
