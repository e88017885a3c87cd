//go:build race

package member

const raced = true
