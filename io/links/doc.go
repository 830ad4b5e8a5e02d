// Package links reaches targets from an entry host: it opens and keeps connections, notices
// when a link, that is, the network path to a target, is lost, and knows the carriers, which
// are other entry hosts that can send a call to the target instead.
//
// A connection to a target is clean when nothing followed the last response;
// only then is it used again. A fresh connection has carried no request before the
// current one. Stray, or unsolicited, bytes are those that arrive outside a
// response. A sealed connection sends nothing more. A silent one carries a request
// but has received no byte of the response for too long.
package links
