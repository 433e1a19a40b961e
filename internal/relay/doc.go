// Package relay defines how an entry host that cannot reach endpoints relays requests to a peer, and chooses that
// peer.
//
// A relayed request is the caller's request with one more header, which says what the first host has decided. The
// peer sends it to one endpoint, once, and never to another host. The response is the endpoint's with one more
// header, which says what has become of the request. The first host counts the request; the peer applies what
// concerns its endpoint.
//
// The package performs no I/O.
package relay
