// Package reqbody reads bodies of requests into memory that follows the bytes that have come, and not what a client
// announces. The memory is reserved from a bodybudget.Budget before it is taken.
package reqbody
