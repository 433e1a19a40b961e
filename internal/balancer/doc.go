// Package balancer decides which endpoint answers a request, from what this entry host
// has in flight, what its peers say they have, which prompt parts endpoints are believed
// to cache and how endpoints have answered of late. It does no I/O: time and randomness
// come in. It answers the load of long prompts with shared documents, where a prompt that
// is read again delays every stream of its endpoint.
package balancer
