// Package quota limits the calls of client accounts over all hosts.
//
// Each account has a token bucket of a rate and a burst. A control host keeps the
// buckets of all accounts in a Ledger, which all services that it decides for share.
// Ledgers exchange the numbers of calls that they have admitted, and take what others
// report from their own buckets. An entry host that decides alone has a Local with a
// small bucket for each account.
//
// A ledger that has not heard a majority of the voting hosts lately may be on the
// minority side of a network partition, or its machine may just have resumed. It then
// admits only as much as a Local.
//
// The package does no I/O. Times and the clock come from the caller.
package quota
