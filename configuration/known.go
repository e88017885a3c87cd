package configuration

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// knownTexts finds the items of a list among those of the list before it. Most stand in the same order, so the next one is looked at first.
type knownTexts struct {
	texts  [][]byte
	next   int
	places map[uint64]int // of all texts, by their hashes; made when the first item is not the next one
}

// find returns where a text stands in the list before.
func (k *knownTexts) find(text []byte) (at int, ok bool) {
	if k.next >= len(k.texts) || !bytes.Equal(k.texts[k.next], text) {
		if at, ok = k.place(text); !ok {
			return 0, false
		}
		k.next = at
	}
	k.next++
	return k.next - 1, true
}

func (k *knownTexts) place(text []byte) (at int, ok bool) {
	if k.places == nil {
		k.places = make(map[uint64]int, len(k.texts))
		for i, known := range k.texts {
			k.places[xxhash.Sum64(known)] = i
		}
	}
	at, ok = k.places[xxhash.Sum64(text)]
	return at, ok && bytes.Equal(k.texts[at], text)
}
