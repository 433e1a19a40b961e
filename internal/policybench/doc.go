// Package policybench measures the production routing and admission code against small
// in-process fakes of model engines in virtual time. Entry nodes, engines and callers
// share one event queue; nothing here is used in production.
package policybench
