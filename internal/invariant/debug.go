//go:build debug

package invariant

const panics = true
