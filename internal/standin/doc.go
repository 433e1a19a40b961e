// Package standin holds small fakes of the outside systems for tests and quick
// starts: the platform's object store, the cloud, model engines and plain services.
// Faults are switched on by method or by HTTP call, and ledgers tell what really ran.
package standin
