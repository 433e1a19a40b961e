// Package testcrowd opens, for tests, many connections whose clients do not behave: they announce bodies that they do not
// send, stop just short of an end, send more than is allowed or do not read. It also measures what a process holds.
package testcrowd
