// Package reach keeps what one entry host knows about the ways to targets.
//
// A link is the way from this host to one target. It is sound until a connection cannot
// be opened or an open one falls silent; then it is lost, until a later connection or
// answer shows that it works again. A host is cut off when it has lost several links and
// no target has been heard since: all its links then count as lost, also those that no
// call has used. While a link is lost, calls to its target go through a carrier, another
// entry host that sends them on over its own link.
//
// A link that refuses connections at once may still have open ones that work. One that
// is silent has lost them too, so that only connections heard from later may be used.
//
// The package does no I/O, reads no clock and draws random numbers only from the
// generator passed in. Its types are not safe for concurrent use.
package reach
