package recordlog

import (
	"fmt"
	"runtime"
	"testing"

	"liftgauge/replication"
)

const recordCount = 1_000_000

// BenchmarkMemoryPerRecord reports the heap bytes per record for a million records in 64 groups, with keys as used for message states.
func BenchmarkMemoryPerRecord(b *testing.B) {
	for _, inline := range []int{0, 100} {
		b.Run(fmt.Sprint("inline", inline), func(b *testing.B) {
			for b.Loop() {
				l, _, err := open(b.TempDir(), Options{MaxInlineBytes: 256}, unsyncedDisk())
				if err != nil {
					b.Fatal(err)
				}
				before := heap()
				value := make([]byte, inline)
				records := make([]replication.Record, 1000)
				for i := range recordCount / len(records) {
					for j := range records {
						records[j] = replication.Record{Key: fmt.Sprintf("s/%04x-%026d", j%64, i*len(records)+j), Version: uint64(i), Value: value}
					}
					l.Append(uint32(i%64), records, nil)
					l.step()
				}
				b.ReportMetric(float64(heap()-before)/recordCount, "heap-B/record")
				runtime.KeepAlive(l)
				_ = l.Close()
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkAppend measures the put of a 5 kB message body and its later deletion, in batches of 16 messages.
func BenchmarkAppend(b *testing.B) {
	l, _, err := open(b.TempDir(), Options{DiskBytes: 350 << 20}, osDisk{})
	if err != nil {
		b.Fatal(err)
	}
	value := make([]byte, 5000)
	const batched, live = 16, 500
	b.SetBytes(int64(len(value)))
	i := 0
	for b.Loop() {
		l.Append(1, []replication.Record{
			{Key: fmt.Sprintf("b/%030d", i), Version: 1, Value: value}, {Key: fmt.Sprintf("s/%030d", i%12000), Version: 1, Value: value[:100]},
		}, nil)
		l.Append(1, []replication.Record{
			{Key: fmt.Sprintf("b/%030d", i-live), Deleted: true}, {Key: fmt.Sprintf("s/%030d", i%12000), Version: 2, Value: value[:100]},
		}, nil)
		if i++; i%batched == 0 {
			l.step()
		}
	}
	usage, _ := l.Usage()
	b.ReportMetric(float64(usage)/(1<<20), "MiB-on-disk")
	_ = l.Close()
}
