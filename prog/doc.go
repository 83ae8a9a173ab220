// Package prog implements the rules of programs: the order of their calls,
// their history, their budgets, and calls that must run at most once.
//
// A program is a chain of calls. A root program and its sub-agents form a
// family, which shares one budget and one row of the table service. The home
// of the family's shard runs a Core, which does no I/O: it takes typed
// requests and the current time, and returns typed actions. A Driver performs
// the actions of a Core with a store. Safety does not depend on a single home:
// each commit is conditional on the version of the family's row, so that of
// two concurrent homes one gets a conflict, reloads the row and continues from
// the stored state.
package prog
