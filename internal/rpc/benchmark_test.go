package rpc

import (
	"context"
	"runtime"
	"sync"
	"testing"
)

func BenchmarkCall(b *testing.B) {
	c := connect(b, listen(b, echo, Options{}).Addr(), echo, Options{})
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(context.Background(), kindEcho, body); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallsAtOnce keeps 64 calls in flight, so that several frames are written per system call.
func BenchmarkCallsAtOnce(b *testing.B) {
	c := connect(b, listen(b, echo, Options{}).Addr(), echo, Options{})
	body := make([]byte, 200)
	slots := make(chan struct{}, 64)
	var waiting sync.WaitGroup
	b.ReportAllocs()
	for b.Loop() {
		slots <- struct{}{}
		waiting.Add(1)
		c.CallAsync(kindEcho, body, 0, func([]byte, error) { <-slots; waiting.Done() })
	}
	waiting.Wait()
}

// BenchmarkIdleConnections reports the memory that an idle connection uses on both of its sides together.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 500
	server := listen(b, echo, Options{})
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]*Conn, connections)
		for i := range conns {
			conns[i] = connect(b, server.Addr(), echo, Options{})
			if _, err := conns[i].Call(context.Background(), kindEcho, []byte("x")); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/connections, "B/connection")
		for _, c := range conns {
			c.Close()
		}
	}
}
