package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSourceLosesItsDiskBeforeItIsAbsorbed has a merge under way, after the disk of the only member was lost, and takes the disk of its source as well: more
// than Copies allows for. The partition goes on with what is left, and what may be put back stays listed.
func TestSourceLosesItsDiskBeforeItIsAbsorbed(t *testing.T) {
	is := is.New(t)
	changes := Plan(Input{
		Stores: []Store{
			{Member: "s1/a"}, {Member: "s2/b", GoneFor: time.Second}, {Member: "s2/b2"}, {Member: "s3/c", GoneFor: time.Second}, {Member: "s3/c2"},
		},
		Copies:     2,
		Partitions: []View{{Epoch: 3, Primary: "s1/a", Members: []string{"s1/a"}, Learners: []string{"s2/b"}, Sources: []string{"s2/b"}, Holders: []string{"s3/c"}}},
	})
	is.Equal(len(changes), 1)
	v := changes[0].View
	is.Equal(v.Members, []string{"s1/a"})
	is.Equal(len(v.Sources), 0)
	is.Equal(len(v.Learners), 1) // a new copy
	is.Equal(v.Holders, []string{"s2/b", "s3/c"})
}
