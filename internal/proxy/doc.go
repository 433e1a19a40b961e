// Package proxy serves callers whose requests are passed on as they are: it finds the
// route, checks the key and the quota, has package balancer choose an endpoint, sends the
// request once or, where that is safe, again, and relays the answer. Streams of numbered
// events may go on at another endpoint within one answer.
//
// What a caller is told is one of: the endpoint's answer, unchanged; a refusal (408, 421,
// 429, 503), which says that the request has not run and never will; or a failure (502,
// 504, a cut connection), which leaves it open.
package proxy
