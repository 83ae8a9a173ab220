// Package route admits the calls of one service and selects the upstream of
// each: ordering and fairness, prefix placement, slow start, retries, and
// isolation of requests that crash upstreams. It does no I/O: messages and the
// time are passed in and decisions are returned. A Pool is for one goroutine.
package route
