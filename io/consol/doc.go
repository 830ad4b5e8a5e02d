// Package consol serves the operators' console: HTML forms that work without
// JavaScript. A form yields one validated service document, which is shown with
// its diff to the current one before it is applied.
//
// The console keeps no state between requests except its signing key. A session
// is a signed cookie, and forms carry their state in hidden fields.
package consol
