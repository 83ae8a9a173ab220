// Package route chooses the upstream of each call of one service and admits
// calls to it: order and fairness, prefix placement, slow start, retries and
// the isolation of requests that crash upstreams. It is pure: messages and the
// time go in as values and decisions come out. A Pool is for one goroutine.
package route
