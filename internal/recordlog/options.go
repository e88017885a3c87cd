package recordlog

import "go.uber.org/zap"

// Options are a log's settings. Zero fields take their defaults.
type Options struct {
	SegmentBytes    int64 // length at which a new file is begun; default 256 KiB, at most a quarter of GenerationBytes
	GenerationBytes int64 // length at which a new generation is begun; default DiskBytes/32, between 1 MiB and 8 MiB; at most DiskBytes/8
	DiskBytes       int64 // space the log may use; default unlimited
	MaxInlineBytes  int   // values up to this length are kept in memory; default 256, negative for none
	CacheBytes      int64 // memory for recent larger values; default 1 MiB, negative for none
	Disk            Disk  // file operations; default SystemDisk
	Logger          *zap.Logger
	OnError         func(error) // called for each failure, usually from the writing goroutine
}

const (
	defaultSegmentBytes      = 256 << 10
	defaultMaxInlineBytes    = 256
	defaultCacheBytes        = 1 << 20
	minGenerationBytes       = 1 << 20
	maxGenerationBytes       = 8 << 20
	defaultGenerationsOnDisk = 32 // number of generations in DiskBytes by default
	minSegmentsPerGeneration = 4

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

// withDefault replaces zero with the default, and a negative value, which means none, with zero.
func withDefault[N int | int64](value, defaultValue N) N {
	if value == 0 {
		return defaultValue
	}
	return max(value, 0)
}

// Report describes what Open found on disk.
type Report struct {
	Generations int      // used
	Records     int      // read, whether live or not
	Live        int      // in the index
	Garbled     int      // damaged records that had been durable; more than zero indicates a faulty disk
	Missing     int      // expected generations that are absent or have no readable header; more than zero indicates a faulty disk
	Removed     []string // leftover folders: below the floor, or begun but never durable
	TailCut     bool     // the last generation had bytes after its last complete record
	TailFile    string
	TailOffset  int64
}

// Damaged reports whether anything that had been durable was lost.
func (r Report) Damaged() bool { return r.Garbled > 0 || r.Missing > 0 }
