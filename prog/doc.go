// Package prog decides what programs may do: the order of their calls, their
// history, their budgets, and calls that may not be repeated.
//
// A program is a chain of calls. A root program and its sub-agents form a
// family, which shares one budget and one row of the table service. The
// instance that is home of the family's shard runs a Core, which is pure: it
// takes typed requests and the time, and gives back typed actions. A Keeper
// drives a Core with a store. Nothing here relies on there being one home:
// each commit is conditional on the version of the family's row, so of two
// homes one loses, loads the table's state and goes on from there.
package prog
