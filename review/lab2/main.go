// Command lab2 plays the scripted cases of the second review: it starts the project's own programs as separate processes on loopback, among
// stand-ins for clients, workers, the platform and the operator, and judges a rule by what these have seen.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// play is one play of a case.
type play struct {
	ctx      context.Context
	record   *record
	platform *platform
	cluster  *cluster
	clients  *clients
	trouble  bool
}

// scripted is a case with the deployment that it needs.
type scripted struct {
	layout layout
	play   func(*play) (int, error)
}

var cases = map[string]scripted{
	"starved":  {smallLayout, starved},
	"draining": {smallLayout, draining}, // a second rule that the fault of "starved" breaks; no case of its own
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/liftgauge", "the program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder for settings, data and logs; empty for a temporary one")
	flag.Parse()
	os.Exit(run(*name, *binary, *path, *keep))
}

func run(name, binary, path, keep string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	if _, err := exec.LookPath(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	folder := keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return couldNot
		}
		defer os.RemoveAll(folder)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p := &play{ctx: ctx, record: r, trouble: os.Getenv("TROUBLE") != "0", clients: newClients(r, host)}
	if p.platform, err = startPlatform(r, pageLength, c.layout.zones); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer p.platform.close()
	if p.cluster, err = newCluster(c.layout, folder, binary, p.platform.address, r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer p.cluster.stop()
	verdict, err := c.play(p)
	if err != nil {
		fmt.Println("could not run:", err)
		r.add("verdict", "could not run: "+err.Error())
		return couldNot
	}
	return verdict
}

// begin starts the system with a configuration.
func (p *play) begin(configuration string) error {
	if err := p.cluster.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, 20*time.Second)
	defer cancel()
	status, err := p.cluster.order(ctx, "/config/replace", 0, []byte(configuration))
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("the first configuration got %d", status)
	}
	if err := p.cluster.awaitReady(ctx); err != nil {
		return err
	}
	p.record.add("bench", "all dispatchers are ready")
	return p.cluster.founded()
}

// verdict writes what was found.
func (p *play) verdict(rule string, breaks []string) (int, error) {
	if ended := p.cluster.ended(); len(ended) > 0 {
		p.record.add("process", fmt.Sprint("not running at the end: ", ended))
	}
	for _, b := range breaks {
		p.record.add("broken", rule+": "+b)
	}
	shown := breaks
	if len(shown) > 3 {
		shown = shown[:3]
	}
	for _, b := range shown {
		fmt.Println(rule+":", b)
	}
	if len(breaks) == 0 {
		fmt.Println(rule, "held")
		p.record.add("verdict", rule+" held")
		return held, nil
	}
	fmt.Printf("%s broken %d times\n", rule, len(breaks))
	p.record.add("verdict", fmt.Sprintf("%s broken %d times", rule, len(breaks)))
	return broken, nil
}
