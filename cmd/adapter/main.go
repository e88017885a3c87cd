// Command adapter runs many dispatchers for an external simulator, which speaks the protocol of package wire on standard input and
// output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"liftgauge/balance"
	"liftgauge/internal/config"
	"liftgauge/internal/wire"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	writer := bufio.NewWriterSize(out, 1<<16)
	host := host{dispatchers: map[uint32]*balance.Dispatcher{}, workerLists: map[uint32][]balance.Worker{}}
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		host.reply.Reset(batch.Seq)
		for i := range batch.Events {
			if err := host.handle(batch, &batch.Events[i]); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Seq, i, err)
			}
		}
		if _, err := host.reply.WriteTo(writer); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", batch.Seq, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("batch %d: flush reply: %w", batch.Seq, err)
		}
	}
}

// host holds the dispatchers by instance number. They share only the worker lists that were received, stored by sheet number.
type host struct {
	dispatchers map[uint32]*balance.Dispatcher
	workerLists map[uint32][]balance.Worker
	reply       wire.Reply
}

func (h *host) handle(b *wire.Batch, ev *wire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			wire.Port{Reply: &h.reply, Instance: ev.Instance}.Fault(fmt.Sprint(p))
		}
	}()
	switch ev.Code {
	case wire.EventList:
		h.workerLists[ev.ListID] = ev.Entries
		return nil
	case wire.EventStart:
		settings, err := config.ParseSettings(ev.Data)
		if err != nil {
			return err
		}
		d := balance.New(settings, ev.Seed, wire.Port{Reply: &h.reply, Instance: ev.Instance})
		h.dispatchers[ev.Instance] = d
		d.Start(b.Now)
		return nil
	case wire.EventStop:
		delete(h.dispatchers, ev.Instance)
		return nil
	}
	d := h.dispatchers[ev.Instance]
	if d == nil {
		return nil // a late event for an instance that was killed
	}
	o := &ev.Outcome
	switch ev.Code {
	case wire.EventTimer:
		d.Timer(b.Now, ev.Seed)
	case wire.EventRegistry:
		d.List(b.Now, ev.ListKind, h.workerLists[ev.ListID])
	case wire.EventNote:
		if ev.Note == 1 {
			d.Started(b.Now, o.Job, o.Attempt)
		} else {
			d.Progress(b.Now, o.Job, o.Attempt, ev.Amount)
		}
	case wire.EventProbeResult:
		d.Probed(b.Now, o.Worker, o.Status, o.Report)
	case wire.EventOutcome:
		d.Outcome(b.Now, *o)
	case wire.EventJob:
		d.Job(b.Now, ev.Job)
	case wire.EventClientLeft:
		d.Disconnected(b.Now, o.Job)
	case wire.EventAccepted:
		d.Accepted(b.Now, o.Job, o.Attempt)
	}
	return nil
}
