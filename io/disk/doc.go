// Package disk keeps small named documents in one data folder.
//
// Every file is written beside its place, synced, renamed and its folder
// synced, and carries a checksum over its content. A file whose checksum does
// not match is reported as corrupt and never returned. The folder is locked
// against a second process.
package disk
