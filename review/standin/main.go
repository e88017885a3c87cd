// Command standin plays a case of the review: it starts the project's own programs among stand-ins of the clients, the workers, the platform
// and the operator, all on loopback addresses, brings the disruption about, and judges one rule.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// game is a case that is being played.
type game struct {
	record  *record
	world   *world
	fleet   *fleet
	clients *clients
	trouble bool
	seed    int64
}

// verdicts of a case; a script exits with them.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// longest bounds a case.
const longest = 110 * time.Second

var cases = map[string]func(ctx context.Context, g *game) (int, error){}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/liftgauge", "the program")
	folder := flag.String("folder", "", "for settings, data and logs")
	path := flag.String("record", "record.txt", "what was sent, answered and run")
	seed := flag.Int64("seed", 1, "of the draws")
	flag.Parse()
	os.Exit(play(*name, *binary, *folder, *path, *seed))
}

func play(name, binary, folder, path string, seed int64) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer r.close()
	verdict, err := playIn(r, name, binary, folder, seed)
	if err != nil {
		r.say("the case could not run: %v", err)
		return cannot
	}
	return verdict
}

func playIn(r *record, name, binary, folder string, seed int64) (int, error) {
	f, ok := cases[name]
	if !ok {
		return cannot, fmt.Errorf("no case %q", name)
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		return cannot, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return cannot, err
	}
	w, err := newWorld(r)
	if err != nil {
		return cannot, err
	}
	fleet, err := newFleet(binary, folder, w.list, r)
	if err != nil {
		return cannot, err
	}
	defer fleet.stop()
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := &game{record: r, world: w, fleet: fleet, clients: newClients(fleet), trouble: os.Getenv("TROUBLE") != "0", seed: seed}
	verdict, err := f(ctx, g)
	if err == nil && ctx.Err() != nil {
		return cannot, ctx.Err()
	}
	return verdict, err
}

// open starts the fleet and gives the first configuration.
func (g *game) open(ctx context.Context, configuration string) error {
	if err := g.fleet.startAll(); err != nil {
		return err
	}
	go g.clients.watch(ctx)
	status, _, err := g.clients.operator("POST", "/config/replace", 0, configuration, startWithin)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	if err := g.clients.awaitReady(startWithin); err != nil {
		return err
	}
	g.record.say("%d processes run; configuration taken; dispatchers ready", len(g.fleet.processes))
	return nil
}
