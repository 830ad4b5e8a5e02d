// Package hash computes 64-bit FNV-1a hashes without allocation. Hosts compare them with
// each other, so they never change.
//
// Source: G. Fowler, L. Noll, K.-P. Vo and D. Eastlake, "The FNV Non-Cryptographic Hash
// Algorithm", IETF draft.
package hash
