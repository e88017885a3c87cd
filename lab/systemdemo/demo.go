// Package systemdemo shows the whole system on loopback: real processes of three zones, stand-ins for the platform's list, the workers, the
// operator and the clients, and now and then a process that is killed and comes back.
package systemdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/operator"
)

const (
	openWithin   = 15 * time.Second // until the first configuration is taken and all dispatchers are ready
	endWithin    = 15 * time.Second // until all that was accepted has run
	pollEvery    = 50 * time.Millisecond
	firstFault   = 4 * time.Second
	faultEvery   = 7 * time.Second
	faultLasting = 2 * time.Second
)

// Options say what to show.
type Options struct {
	Binary    string        // the liftgauge program
	PerSecond int           // messages
	For       time.Duration // of traffic; 0 until the context ends
	Faults    bool
	Upgrade   *Upgrade // instead of faults; nil for none
	Folder    string   // for settings, data and logs; empty for one that is removed at the end
	Out       io.Writer
	Live      bool // the line is written over itself
}

// Summary is what was seen.
type Summary struct {
	Sent, Accepted, Refused, Unknown int
	Missing                          int // accepted and not run in the end
	Again                            int // ran more than once
	Faults                           []string
}

// Run starts the system, sends traffic and tells each second what happens. An error means that it could not be shown, or that an accepted
// message has not run.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if o.Folder == "" {
		folder, err := os.MkdirTemp("", "liftgauge-demo")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		o.Folder = folder
	}
	s, err := startStandIns()
	if err != nil {
		return nil, err
	}
	defer s.close()
	d := &demo{options: o, standIns: s, machines: layout(o.Folder)}
	defer d.stop()
	if err := d.open(ctx); err != nil {
		return nil, err
	}
	return d.play(ctx)
}

// demo is a system that runs.
type demo struct {
	options  Options
	standIns *standIns
	machines []*machine
	faults   []string
}

// open starts all processes and gives the first configuration.
func (d *demo) open(ctx context.Context) error {
	var seeds []string
	for _, m := range ofRole(d.machines, "control") {
		seeds = append(seeds, at(m.ip, controlPlanePort))
	}
	for _, m := range d.machines {
		if err := m.writeSettings(seeds, d.standIns.list); err != nil {
			return err
		}
		if err := m.start(d.options.Binary); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	if err := giveConfiguration(ctx, seeds); err != nil {
		return errors.Wrapf(err, "the system did not open; its logs are in %s", d.options.Folder)
	}
	for _, m := range ofRole(d.machines, "dispatcher") {
		if err := awaitReady(ctx, at(m.ip, readinessPort)); err != nil {
			return errors.Wrapf(err, "%s; its log is in %s", m.name, d.options.Folder)
		}
	}
	fmt.Fprintf(d.options.Out, "%d processes run in 3 zones on loopback. Try, while it runs:\n", len(d.machines))
	fmt.Fprintf(d.options.Out, "  liftgauge status --control %s\n", strings.Join(seeds, ","))
	front := at(ofRole(d.machines, "dispatcher")[0].ip, frontendPort)
	fmt.Fprintf(d.options.Out, "  curl -i http://%s/readings/1 -H 'Host: %s' -H 'X-Request-Id: mine-1' -d 'level 3'\n", front, hostname)
	return nil
}

// giveConfiguration sends the first configuration until it is taken.
func giveConfiguration(ctx context.Context, seeds []string) error {
	client := &http.Client{Timeout: time.Second}
	for try := 0; ; try++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seeds[try%len(seeds)]+"/config/replace", strings.NewReader(string(configurationBody)))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", "0")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			if response.StatusCode < http.StatusInternalServerError {
				return errors.Newf("the first configuration was answered %s", response.Status)
			}
		}
		if err := pause(ctx, pollEvery); err != nil {
			return errors.Wrap(err, "the first configuration was not taken")
		}
	}
}

func awaitReady(ctx context.Context, address string) error {
	client := &http.Client{Timeout: time.Second}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readiness", nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx, pollEvery); err != nil {
			return errors.Wrap(err, "not ready")
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// play sends traffic with faults beside it, and waits until all that was accepted has run.
func (d *demo) play(ctx context.Context) (*Summary, error) {
	traffic, stop := context.WithCancel(ctx)
	if d.options.For > 0 {
		traffic, stop = context.WithTimeout(ctx, d.options.For)
	}
	defer stop()
	c := newClients(ofRole(d.machines, "dispatcher"))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.run(traffic, d.options.PerSecond)
	}()
	faultErr := make(chan error, 1)
	go func() { faultErr <- d.breakThings(traffic) }()
	d.tell(traffic, c)
	<-sent
	if err := <-faultErr; err != nil {
		return nil, err
	}
	return d.sumUp(c)
}

// breakThings kills one process after the other and starts it again, until the context ends.
func (d *demo) breakThings(ctx context.Context) error {
	switch {
	case d.options.Upgrade != nil:
		return d.upgrade(ctx, d.options.Upgrade)
	case !d.options.Faults:
		return nil
	}
	wait := firstFault
	for _, role := range []string{"store", "control", "dispatcher"} {
		for _, m := range ofRole(d.machines, role)[:1] {
			if pause(ctx, wait) != nil {
				return nil
			}
			wait = faultEvery - faultLasting
			d.faults = append(d.faults, "killed "+m.name)
			m.kill()
			_ = pause(ctx, faultLasting)
			if err := m.start(d.options.Binary); err != nil {
				return err
			}
		}
	}
	return nil
}

// tell prints a line a second.
func (d *demo) tell(ctx context.Context, c *clients) {
	end := "\n"
	if d.options.Live {
		end = "\r"
	}
	for second := 1; pause(ctx, time.Second) == nil; second++ {
		sent, accepted, refused, unknown := c.figures()
		ran, again := d.standIns.counts()
		fmt.Fprintf(d.options.Out, "%3d s  sent %d, accepted %d, refused %d, no answer %d, ran %d, again %d  %-24s%s",
			second, sent, accepted, refused, unknown, ran, again, d.primary(), end)
	}
	fmt.Fprintln(d.options.Out)
}

// primary names control's primary as the first process that answers knows it.
func (d *demo) primary() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
	defer cancel()
	var addresses []string
	for _, m := range ofRole(d.machines, "control") {
		addresses = append(addresses, at(m.ip, controlPlanePort))
	}
	status, err := operator.New(addresses, nil).Status(ctx)
	if err != nil {
		return "primary unknown"
	}
	name, _, _ := strings.Cut(status.Primary, "/")
	return "primary " + name
}

// sumUp waits for what was accepted.
func (d *demo) sumUp(c *clients) (*Summary, error) {
	limit := time.Now().Add(endWithin)
	for c.missing(d.standIns) > 0 && time.Now().Before(limit) {
		time.Sleep(pollEvery)
	}
	r := &Summary{Missing: c.missing(d.standIns), Faults: d.faults}
	r.Sent, r.Accepted, r.Refused, r.Unknown = c.figures()
	_, r.Again = d.standIns.counts()
	if r.Missing > 0 {
		return r, errors.Newf("%d of %d accepted messages have not run", r.Missing, r.Accepted)
	}
	return r, nil
}

// stop kills what still runs.
func (d *demo) stop() {
	for _, m := range d.machines {
		m.kill()
	}
}
