package recordlog

import (
	"fmt"
	"path/filepath"
	"strconv"
)

// generation is a folder with the segments of one log of the library.
type generation struct {
	number   uint64
	salt     uint64
	folder   string
	segments []*segment

	bytes             int64 // of its durable records
	liveRecords       int   // records that the index refers to, or that a change that is not yet durable has replaced
	liveBytes         int64
	passesWithoutCopy int // compaction passes that copied nothing although there were live records
}

// segment is the durable part of one file of a generation.
type segment struct {
	id         uint32 // unique in this process
	first      uint64 // position of its first record
	path       string
	size       int64
	generation *generation
}

const generationDigits = 10

func generationFolder(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%0*d", generationDigits, number))
}

// parseGenerationName returns the number of the generation in the folder of this name.
func parseGenerationName(name string) (uint64, bool) {
	number, err := strconv.ParseUint(name, 10, 64)
	return number, err == nil && number > 0 && len(name) >= generationDigits
}

const segmentDigits = 20

// segmentPath returns the path that the library gives to the segment whose first record has this position.
func segmentPath(folder string, first uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%0*d", segmentDigits, first))
}

func parseSegmentName(name string) (uint64, bool) {
	first, err := strconv.ParseUint(name, 10, 64)
	return first, err == nil && first > 0 && len(name) == segmentDigits
}

func (g *generation) last() *segment { return g.segments[len(g.segments)-1] }

// end returns the position after the last durable record.
func (g *generation) end() generationEnd {
	if len(g.segments) == 0 {
		return generationEnd{Segment: 1}
	}
	return generationEnd{Segment: g.last().first, Offset: uint64(g.last().size)}
}
