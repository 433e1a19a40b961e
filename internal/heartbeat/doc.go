// Package heartbeat keeps the entry hosts in touch by small datagrams some times a second.
//
// Few hosts report to each other directly. Of many, those of a data centre follow one of
// them, their lead: they report to it alone, it sums up what its followers say, exchanges
// reports with the leads of the other data centres, and sends its followers digests of what
// all hosts say. What a host sends and receives so grows with the size of a data centre and
// the number of data centres, not with their product.
//
// Leads are not elected: every host follows the first of its data centre in a fixed order
// that answers, and only hosts before it in that order, so that nobody follows in a circle.
// A host that nobody before it answers is its own lead.
//
// Messages may be lost, late or doubled, and may stop at any time; whatever is decided by
// them falls back to a host's own view. The package does no I/O.
package heartbeat
