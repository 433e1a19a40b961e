// Package standin provides in-memory fakes of the external systems for tests and
// demos: the platform's object store, the cloud, model engines and plain services.
// Faults are injected by method or by HTTP call, and ledgers record what was executed.
package standin
