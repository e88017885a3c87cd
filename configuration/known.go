package configuration

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// knownTexts finds the items of a list among those of the previous version of the list. Most items keep their order, so the successor of
// the last match is compared first.
type knownTexts struct {
	texts   [][]byte
	next    int
	indexes map[uint64]int // of all texts, by hash; built lazily when an item is out of order
}

// find returns the index of a text in the previous list.
func (k *knownTexts) find(text []byte) (at int, ok bool) {
	if k.next >= len(k.texts) || !bytes.Equal(k.texts[k.next], text) {
		if at, ok = k.lookUp(text); !ok {
			return 0, false
		}
		k.next = at
	}
	k.next++
	return k.next - 1, true
}

func (k *knownTexts) lookUp(text []byte) (at int, ok bool) {
	if k.indexes == nil {
		k.indexes = make(map[uint64]int, len(k.texts))
		for i, known := range k.texts {
			k.indexes[xxhash.Sum64(known)] = i
		}
	}
	at, ok = k.indexes[xxhash.Sum64(text)]
	return at, ok && bytes.Equal(k.texts[at], text)
}
