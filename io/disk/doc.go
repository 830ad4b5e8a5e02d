// Package disk stores small named JSON documents in a data folder.
//
// Writes are atomic and durable: each file is written under a temporary name,
// synced and renamed, and then the folder is synced. Each file holds one document
// and starts with a checksum of it. A file whose checksum does not match is
// reported as corrupt and its content is never returned; the caller can rename it
// with Quarantine. A lock file keeps a second process out of the folder.
package disk
