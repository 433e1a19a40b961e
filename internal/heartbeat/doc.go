// Package heartbeat exchanges small datagrams between the entry hosts several times per second.
//
// A small number of hosts forms a full mesh: each sends its report to all others. Among many
// hosts, those of a data centre follow one of them, their leader. They send their reports only
// to the leader, which aggregates them, exchanges reports with the leaders of the other data
// centres, and sends its followers digests of what all hosts report. The traffic of a host
// therefore grows with the size of its data centre and the number of data centres, not with
// their product.
//
// Leaders are not elected. The hosts of a data centre have a fixed order, and every host
// follows the first host before itself in that order that responds. Because hosts only follow
// hosts before them, there are no cycles. A host to which no host before it responds is its own
// leader.
//
// Messages may be lost, delayed or duplicated, and may stop at any time; every decision based
// on them falls back to the host's own view. The package performs no I/O.
//
// It connects the entry hosts that package node builds. The daemons that package app builds use
// packages gossip and membership instead.
package heartbeat
