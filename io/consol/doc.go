// Package consol serves the operators' console: HTML forms that work without
// JavaScript. A form yields one validated service document, which is shown with
// its diff to the current one before it is applied.
//
// The console keeps no state between requests except its signing key. A session
// is a signed cookie. Each form carries a token that is derived from its session,
// so that no other site can post it.
//
// Each accepted change of a document gives it the next revision; a deletion does
// too. A change names its base, the revision that it starts from, and is refused as
// a conflict when that is no longer the current one. It also carries a request id,
// so that the same form can be sent again without a second change. The hidden
// fields of the forms hold base and request id.
//
// A form has one section per top-level field of the document. A list of objects in
// a section is a group with one row of inputs per object.
package consol
