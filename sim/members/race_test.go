//go:build race

package members

const raced = true
