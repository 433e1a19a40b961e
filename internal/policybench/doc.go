// Package policybench measures the production routing and admission code in virtual time
// against small in-process fakes of model engines. Entry nodes, engines and callers share one
// event queue. Nothing in this package is used in production.
package policybench
