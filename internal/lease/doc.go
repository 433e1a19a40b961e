// Package lease elects one holder at a time, which alone may send orders for a limited time. The
// lease is an object in the platform's object service. Each acquisition increments a fencing token,
// which is sent with every order. A member is one run of the daemon on a host, and takes part in the
// election.
//
// Clocks of different hosts are never compared. The holder measures the duration of the lease from
// before it sent the write that acquired or renewed it; all other members measure the same duration
// from when they first saw that write or received the holder's report of it. A holder that was
// paused for longer therefore finds its lease expired when it continues, and sends no more orders.
// A member acquires the lease only after this wait, except in three cases: the lease was released or
// its object does not exist; the member itself is still stored as the holder; or the holder is an
// earlier run of the same host and is known to have ended.
//
// Since a process may be paused between the check of its lease and an order, a lease alone cannot
// exclude two holders: endpoints that check fencing tokens reject the older holder, and orders to
// other receivers must be harmless if two holders send them.
//
// StateMachine holds the decision logic; Runner drives it against an objectstore.Store.
package lease
