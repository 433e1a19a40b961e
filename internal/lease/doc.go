// Package lease gives one holder at a time the right to give orders, for a limited
// time, through an object in the platform's object service. Each change of holder
// raises a fencing number, which goes with every order.
//
// Clocks of different hosts are never compared. A holder counts its time from before it
// sent the write that gave or renewed the lease; everybody else counts the same time
// from when they first saw that write. A holder that was paused finds on waking that its
// own time has passed, and gives no more orders. Since it may be paused between that
// check and an order, a lease alone does not exclude two holders: endpoints that check
// fencing numbers refuse the older one, and orders to others must be harmless under two
// holders.
//
// Machine is the decision core; Runner drives it against a platform.Store.
package lease
