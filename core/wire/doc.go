// Package wire defines, parses and formats what entry hosts, targets and callers
// exchange: HTTP header fields, load reports and announcements.
//
// A target sends announcements to an entry host to register itself and to renew
// its lease, the time after which it is suspect unless it sends another one. Its
// incarnation is a number that grows with every start of the target. A load report
// is a header field in which a target says how many calls it runs; its slots are
// the calls that it can run at once, and its pace is the current duration of its
// calls in percent of the usual one. A Dialect parses and writes the header fields
// that one deployment uses.
package wire
