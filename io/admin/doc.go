// Package admin implements the HTTP API for operators: the API of control hosts
// that reads and changes service documents, their metrics and their readiness,
// and the view of targets that control hosts collect from entry hosts.
//
// The document of a service has revisions, numbered from 1. A change names the
// revision that it is based on, and conflicts when there is a newer one; a deletion
// is a revision without a body, the tombstone. Each change has an idempotency key,
// also called its request ID, so that it takes effect once however often it is
// sent. A Draft is a change that has not been validated. A Store holds the documents
// on which a majority of control hosts agrees; a control host has learnt a document
// once it knows of this agreement.
//
// An EntryView is what one entry host knows of services and targets. A Fleet here
// is the list of entry hosts in a control host's settings. The console is the web
// interface for operators (package consol), which is served at the same address.
package admin
