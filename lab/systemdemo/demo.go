// Package systemdemo runs the whole system on loopback: real processes in three zones, a fake platform with its worker list and workers, an
// operator and clients. Optionally it kills and restarts processes or upgrades them one by one.
package systemdemo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/multierr"

	"liftgauge/internal/operator"
)

const (
	startupTimeout    = 15 * time.Second // until the first configuration is accepted and all dispatchers are ready
	completionTimeout = 15 * time.Second // until all accepted messages have run
	pollInterval      = 50 * time.Millisecond
	firstFaultDelay   = 4 * time.Second
	faultInterval     = 7 * time.Second
	faultDuration     = 2 * time.Second
)

// Options configures a demonstration.
type Options struct {
	Binary    string        // the liftgauge program
	PerSecond int           // messages sent per second
	For       time.Duration // duration of the traffic; 0 means until the context ends
	Faults    bool
	Upgrade   *Upgrade // replaces the faults; nil for none
	// Pages is the number of pages of the platform's worker list; 0 means defaultPages.
	Pages int
	// WorkerChanges makes workers drain, crash and restart, and move in the list.
	WorkerChanges bool
	Folder        string // for settings, data and logs; empty for one that is removed at the end
	Out           io.Writer
	Live          bool // overwrite the progress line instead of adding lines
}

// Summary is the result of a demonstration.
type Summary struct {
	Sent, Accepted, Refused, Unknown int
	Missing                          int // accepted but not run by the end
	Again                            int // ran more than once
	// LateAtDraining counts the messages that reached a worker later than DrainMs after the list showed it as draining. Some are allowed
	// after faults.
	LateAtDraining int
	Faults         []string
	WorkerChanges  []string
}

// Run starts the system, sends traffic and prints progress every second. It returns an error if the demonstration could not run or an
// accepted message has not run by the end.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if o.Folder == "" {
		folder, err := os.MkdirTemp("", "liftgauge-demo")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		o.Folder = folder
	}
	platform, err := startFakePlatform(cmp.Or(o.Pages, defaultPages))
	if err != nil {
		return nil, err
	}
	defer platform.close()
	d := &demo{options: o, platform: platform, machines: layout(o.Folder)}
	defer d.stop()
	if err := d.startSystem(ctx); err != nil {
		return nil, err
	}
	return d.run(ctx)
}

// demo is a running system.
type demo struct {
	options  Options
	platform *fakePlatform
	machines []*machine
	faults   []string

	workerChanges []string
}

// startSystem starts all processes and submits the first configuration.
func (d *demo) startSystem(ctx context.Context) error {
	var seeds []string
	for _, m := range ofRole(d.machines, "control") {
		seeds = append(seeds, hostPort(m.ip, controlPlanePort))
	}
	for _, m := range d.machines {
		if err := m.writeSettings(seeds, d.platform.listAddress); err != nil {
			return err
		}
		if err := m.start(d.options.Binary); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	if err := submitConfiguration(ctx, seeds); err != nil {
		return errors.Wrapf(err, "the system did not start; its logs are in %s", d.options.Folder)
	}
	for _, m := range ofRole(d.machines, "dispatcher") {
		if err := awaitReady(ctx, hostPort(m.ip, readinessPort)); err != nil {
			return errors.Wrapf(err, "%s; its log is in %s", m.name, d.options.Folder)
		}
	}
	fmt.Fprintf(d.options.Out, "%d processes run in 3 zones on loopback. Try, while it runs:\n", len(d.machines))
	fmt.Fprintf(d.options.Out, "  liftgauge status --control %s\n", strings.Join(seeds, ","))
	front := hostPort(ofRole(d.machines, "dispatcher")[0].ip, frontendPort)
	fmt.Fprintf(d.options.Out, "  curl -i http://%s/readings/1 -H 'Host: %s' -H 'X-Request-Id: mine-1' -d 'level 3'\n", front, hostname)
	return nil
}

// submitConfiguration sends the first configuration until it is accepted.
func submitConfiguration(ctx context.Context, seeds []string) error {
	client := &http.Client{Timeout: time.Second}
	for attempt := 0; ; attempt++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seeds[attempt%len(seeds)]+"/config/replace",
			strings.NewReader(string(configurationBody)))
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
				return errors.Newf("the first configuration was rejected with status %s", response.Status)
			}
		}
		if err := pause(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "the first configuration was not accepted")
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
		if err := pause(ctx, pollInterval); err != nil {
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

// run sends traffic while it injects faults, then waits until all accepted messages have run.
func (d *demo) run(ctx context.Context) (*Summary, error) {
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
	faultErr, workersErr := make(chan error, 1), make(chan error, 1)
	go func() { faultErr <- d.injectFaults(traffic) }()
	go func() { workersErr <- d.changeWorkers(traffic) }()
	d.printProgress(traffic, c)
	<-sent
	if err := multierr.Append(<-faultErr, <-workersErr); err != nil {
		return nil, err
	}
	return d.summarize(c)
}

// injectFaults kills and restarts one process of each role in turn, or performs the upgrade if one is requested, until the context ends.
func (d *demo) injectFaults(ctx context.Context) error {
	switch {
	case d.options.Upgrade != nil:
		return d.upgrade(ctx, d.options.Upgrade)
	case !d.options.Faults:
		return nil
	}
	wait := firstFaultDelay
	for _, role := range []string{"store", "control", "dispatcher"} {
		for _, m := range ofRole(d.machines, role)[:1] {
			if pause(ctx, wait) != nil {
				return nil
			}
			wait = faultInterval - faultDuration
			d.faults = append(d.faults, "killed "+m.name)
			m.kill()
			_ = pause(ctx, faultDuration)
			if err := m.start(d.options.Binary); err != nil {
				return err
			}
		}
	}
	return nil
}

// printProgress prints a progress line every second.
func (d *demo) printProgress(ctx context.Context, c *clients) {
	end := "\n"
	if d.options.Live {
		end = "\r"
	}
	for second := 1; pause(ctx, time.Second) == nil; second++ {
		sent, accepted, refused, unknown := c.counts()
		ran, again := d.platform.counts()
		fmt.Fprintf(d.options.Out, "%3d s  sent %d, accepted %d, refused %d, no answer %d, ran %d, again %d  %-24s%s",
			second, sent, accepted, refused, unknown, ran, again, d.primary(), end)
	}
	fmt.Fprintln(d.options.Out)
}

// primary returns a label with control's primary, according to the first control process that answers.
func (d *demo) primary() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
	defer cancel()
	var addresses []string
	for _, m := range ofRole(d.machines, "control") {
		addresses = append(addresses, hostPort(m.ip, controlPlanePort))
	}
	status, err := operator.New(addresses, nil).Status(ctx)
	if err != nil {
		return "primary unknown"
	}
	name, _, _ := strings.Cut(status.Primary, "/")
	return "primary " + name
}

// summarize waits until all accepted messages have run or the timeout expires, and returns the result.
func (d *demo) summarize(c *clients) (*Summary, error) {
	deadline := time.Now().Add(completionTimeout)
	for c.countMissing(d.platform) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	summary := &Summary{Missing: c.countMissing(d.platform), Faults: d.faults, WorkerChanges: d.workerChanges, LateAtDraining: d.platform.lateMessages()}
	summary.Sent, summary.Accepted, summary.Refused, summary.Unknown = c.counts()
	_, summary.Again = d.platform.counts()
	if summary.Missing > 0 {
		return summary, errors.Newf("%d of %d accepted messages have not run", summary.Missing, summary.Accepted)
	}
	if summary.LateAtDraining > 0 && !d.options.Faults && d.options.Upgrade == nil {
		return summary, errors.Newf("%d messages reached workers that had been draining for more than %v", summary.LateAtDraining, drainLimit)
	}
	return summary, nil
}

// stop kills the processes that are still running.
func (d *demo) stop() {
	for _, m := range d.machines {
		m.kill()
	}
}
