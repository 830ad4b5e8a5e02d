// Package consol serves the operators' console: HTML forms that work without
// script. The output of a form is one validated service document, which is
// shown with its difference to the current one before it is applied.
//
// The console keeps no state between requests but its key: a session is a
// signed cookie, and everything that a form needs travels in hidden fields.
package consol
