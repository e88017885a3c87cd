package control

import (
	"testing"

	"github.com/matryer/is"
)

func TestPeerDirectoryPrefersReportsOfTheProcessItself(t *testing.T) {
	is := is.New(t)
	b := newPeerDirectory()
	before, changed := b.learn("a/1", "10.0.0.1:7240", false)
	is.True(changed)
	is.Equal(before, "")
	before, changed = b.learn("a/2", "10.0.0.1:7240", true) // restarted with an empty disk
	is.True(changed)
	is.Equal(before, "a/1")
	is.Equal(b.memberAt("10.0.0.1:7240"), "a/2")
	_, changed = b.learn("a/1", "10.0.0.1:7240", false) // a view still names the old one
	is.Equal(changed, false)
	is.Equal(b.addressOf["a/1"], "")
	_, changed = b.learn("a/2", "10.0.0.2:7240", true) // the disk was moved
	is.True(changed)
	is.Equal(b.memberAt("10.0.0.1:7240"), "")
	is.Equal(b.addressOf["a/2"], "10.0.0.2:7240")
}

func TestWithPortOf(t *testing.T) {
	is := is.New(t)
	is.Equal(withPortOf("10.0.0.1:7240", "10.0.0.9:8046"), "10.0.0.1:8046")
	is.Equal(withPortOf("", "10.0.0.9:8046"), "")
	is.Equal(withPortOf("10.0.0.1:7240", ""), "")
}
