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

// records writes what was seen of messages. It is nil where settings leave it off.
type records struct {
	*capture.Writer
	zone   int
	secret []byte
}

// openCapture makes a writer if the settings ask for one. It begins no file before there is something to write.
func openCapture(c *config.Config, own *own, boot string, log *slog.Logger) (*records, error) {
	s := own.Capture
	if s == nil {
		return nil, nil
	}
	if info, err := os.Stat(s.Folder); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("settings: capture.folder: want a folder, have %q", s.Folder)
	}
	var classes []string
	classes = append(classes, c.Classes...)
	for _, f := range own.table.Functions() { // the module's numbers, in their order
		classes = append(classes, f.Name, f.Name+" (background)")
	}
	return &records{zone: c.Settings.Zone, secret: []byte(s.Secret), Writer: capture.NewWriter(capture.Config{Folder: s.Folder, MaxFileSize: s.File,
		MaxFiles: s.Files, QueueSize: s.Queue, Interval: time.Duration(s.Interval), Log: log,
		Header: capture.Header{Name: c.Name, Boot: boot, Zone: c.Settings.Zone, Classes: classes, Zones: c.Zones, Kinds: c.Kinds,
			Started: time.Now().UnixNano()}})}, nil
}

// subject hashes what a message is about, so that a file shows what is repeated and not what it is.
func (r *records) subject() func(key string) uint64 {
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

// seen makes a record of a message that has settled.
func (r *records) seen() func(*engine.Message, engine.AnswerKind, bool, time.Duration, []*engine.Attempt) {
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
				Sent: since(a.SentAt()), Began: since(a.StartedAt()), Ended: since(a.EndedAt()), Status: uint8(a.Status()), Age: age(a)})
		}
		r.Put(rec)
	}
}

// age is how long a host's process had been there when it was sent something.
func age(a *engine.Attempt) int64 {
	if up := a.Host.Worker.Up; up > 0 && a.SentAt() >= up {
		return int64(a.SentAt() - up)
	}
	return -1
}

func (r *records) figures() []control.Metric {
	if r == nil {
		return nil
	}
	return []control.Metric{{Name: "captured_total", Value: r.Written()}, {Name: "capture_dropped_total", Value: r.Dropped()}}
}
