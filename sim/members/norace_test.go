//go:build !race

package members

const raceEnabled = false
