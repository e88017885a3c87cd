package recordlog

import "go.uber.org/zap"

// Options are a log's settings. Zero fields take their defaults.
type Options struct {
	SegmentBytes    int64 // length at which a file is full; default 256 KiB, at most a quarter of GenerationBytes
	GenerationBytes int64 // length at which a new generation is begun; default DiskBytes/32, between 1 MiB and 8 MiB; at most DiskBytes/8
	DiskBytes       int64 // space the log may use; default unlimited
	MaxInlineBytes  int   // values up to this length are kept in memory; default 256, negative for none
	CacheBytes      int64 // memory for recent larger values; default 1 MiB, negative for none
	Disk            Disk  // what changes files; default SystemDisk
	Logger          *zap.Logger
	OnError         func(error) // called for each failed write, from the writing goroutine
}

const (
	defaultSegmentBytes      = 256 << 10
	defaultMaxInlineBytes    = 256
	defaultCacheBytes        = 1 << 20
	minGenerationBytes       = 1 << 20
	maxGenerationBytes       = 8 << 20
	defaultGenerationsOnDisk = 32 // DiskBytes hold that many generations by default
	minSegmentsPerGeneration = 4  // at least

	minGenerationsOnDisk = 8
)

func (o Options) withDefaults() Options {
	if o.GenerationBytes <= 0 {
		o.GenerationBytes = maxGenerationBytes
		if o.DiskBytes > 0 {
			o.GenerationBytes = min(max(o.DiskBytes/defaultGenerationsOnDisk, minGenerationBytes), maxGenerationBytes)
		}
	}
	if o.DiskBytes > 0 {
		o.GenerationBytes = min(o.GenerationBytes, max(o.DiskBytes/minGenerationsOnDisk, 1))
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	o.SegmentBytes = min(o.SegmentBytes, max(o.GenerationBytes/minSegmentsPerGeneration, 1))
	o.MaxInlineBytes = withDefault(o.MaxInlineBytes, defaultMaxInlineBytes)
	o.CacheBytes = withDefault(o.CacheBytes, defaultCacheBytes)
	if o.Disk == nil {
		o.Disk = SystemDisk{}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// withDefault replaces zero by the default and a negative value, which stands for none, by zero.
func withDefault[N int | int64](value, standard N) N {
	if value == 0 {
		return standard
	}
	return max(value, 0)
}

// Report tells what Open found.
type Report struct {
	Generations int      // taken
	Records     int      // read, live or not
	Live        int      // in the index
	Garbled     int      // damaged records in what had been durable; more than zero means a faulty disk
	Missing     int      // generations that should be there and are not, or have no readable header; a faulty disk
	Removed     []string // folders that were left over: below the floor, or begun and never durable
	TailCut     bool     // the last generation had more bytes behind its last whole record
	TailFile    string
	TailOffset  int64
}

// Damaged tells whether anything that had been durable was lost.
func (r Report) Damaged() bool { return r.Garbled > 0 || r.Missing > 0 }
