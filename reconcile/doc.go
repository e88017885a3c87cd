// Package reconcile finds the difference between two sets of versioned keys with little traffic.
//
// Keys are distributed by a 64-bit hash, and ranges of the hash space are summarized by digests: a count and a commutative sum over
// the items. Two sides with equal digests of a range hold the same items in it, with high probability. Where digests differ, a
// Comparison requests the digests of the sixteen parts of the range, and for parts with few items the items themselves. Finding d
// differing items among n takes about d*log16(n) digests.
//
// Index is an ordered container that updates the digests of its elements with each change; Tree is a plain set of items on top
// of it. The package does no I/O, starts no goroutines and reads no clock. Its types are not safe for concurrent use.
package reconcile
