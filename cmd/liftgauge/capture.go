package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"time"

	"liftgauge/internal/capture"
	"liftgauge/internal/config"
	"liftgauge/internal/serve/control"
	"liftgauge/internal/serve/engine"
)

// captureRecorder writes a record of each closed message to the capture files. It is nil if capture is not configured.
type captureRecorder struct {
	*capture.Writer
	zone   int
	secret []byte
}

// openCapture returns a recorder if the settings enable capture. No file is created before there is something to write.
func openCapture(c *config.Config, loaded *serveSettings, boot string, log *slog.Logger) (*captureRecorder, error) {
	s := loaded.Capture
	if s == nil {
		return nil, nil
	}
	if info, err := os.Stat(s.Folder); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("settings: capture.folder: want a folder, have %q", s.Folder)
	}
	var classes []string
	classes = append(classes, c.Classes...)
	for _, f := range loaded.table.Functions() { // in the order in which the engine numbers its classes
		classes = append(classes, f.Name, f.Name+" (background)")
	}
	return &captureRecorder{zone: c.Settings.Zone, secret: []byte(s.Secret), Writer: capture.NewWriter(capture.Config{Folder: s.Folder, MaxFileSize: s.File,
		MaxFiles: s.Files, QueueSize: s.Queue, Interval: time.Duration(s.Interval), Log: log,
		Header: capture.Header{Name: c.Name, Boot: boot, Zone: c.Settings.Zone, Classes: classes, Zones: c.Zones, Kinds: c.Kinds,
			Started: time.Now().UnixNano()}})}, nil
}

// subjectHasher returns a keyed hash of a message's subject, so that a capture file shows which subjects repeat but not what they are.
func (r *captureRecorder) subjectHasher() func(key string) uint64 {
	if r == nil {
		return nil
	}
	return func(key string) uint64 {
		if key == "" {
			return 0
		}
		mac := hmac.New(sha256.New, r.secret)
		mac.Write([]byte(key))
		return max(binary.BigEndian.Uint64(mac.Sum(nil)), 1)
	}
}

// onMessageClosed returns the callback that records a closed message with its attempts.
func (r *captureRecorder) onMessageClosed() func(*engine.Message, engine.AnswerKind, bool, time.Duration, []*engine.Attempt) {
	if r == nil {
		return nil
	}
	return func(m *engine.Message, answer engine.AnswerKind, answered bool, at time.Duration, attempts []*engine.Attempt) {
		rec := capture.Record{Arrived: int64(m.Arrived), Class: m.Job.Class, Key: m.Subject, Hint: int64(m.Job.Hint), Slots: m.Job.Slots,
			Zone: r.zone, Tenant: m.Job.Tenant, Timeout: int64(m.Job.Left), Retry: m.Job.Again, Duration: int64(at - m.Arrived),
			Outcome: [...]uint8{engine.Failed: capture.Failed, engine.Served: capture.Served, engine.BackOff: capture.BackOff}[answer]}
		if !answered {
			rec.Outcome = capture.ClientLeft
		}
		since := func(t time.Duration) int64 {
			if t == 0 {
				return -1
			}
			return int64(t - m.Arrived)
		}
		for _, a := range attempts {
			rec.Attempts = append(rec.Attempts, capture.Attempt{Host: a.Host.Name, Kind: a.Host.Worker.Kind, Zone: a.Host.Worker.Zone,
				Sent: since(a.SentAt()), Began: since(a.StartedAt()), Ended: since(a.EndedAt()), Status: uint8(a.Status()), Age: hostUptime(a)})
		}
		r.Put(rec)
	}
}

// hostUptime returns how long a host's process had been up when the attempt was sent to it, or -1 if that is unknown.
func hostUptime(a *engine.Attempt) int64 {
	if up := a.Host.Worker.Up; up > 0 && a.SentAt() >= up {
		return int64(a.SentAt() - up)
	}
	return -1
}

func (r *captureRecorder) metrics() []control.Metric {
	if r == nil {
		return nil
	}
	return []control.Metric{{Name: "captured_total", Value: r.Written()}, {Name: "capture_dropped_total", Value: r.Dropped()}}
}
