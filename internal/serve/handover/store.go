// Package handover keeps what must outlive a process, and lets the old and the new process of an upgrade work as one.
package handover

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"liftgauge/internal/jsonval"
)

// State is what outlives a process.
type State struct {
	Offline []string // hosts that operators have left out
	Listed  []string // hosts that were ever listed, these among them
}

// maxState bounds what is read of a file.
const maxState = 16 << 20

// Store keeps a State in a file, which is only ever replaced whole. It is safe for concurrent use.
type Store struct {
	path string // empty: kept in memory alone
	log  *slog.Logger

	mu              sync.Mutex // of the state
	offline, listed map[string]bool
	writing         sync.Mutex // of the file; taken before the other
	changed         chan struct{}
}

// Open reads the state that a process before this one has left. A file that cannot be read is logged and done without:
// to serve goes first.
func Open(path string, log *slog.Logger) *Store {
	s := &Store{path: path, log: log, offline: map[string]bool{}, listed: map[string]bool{}, changed: make(chan struct{}, 1)}
	if path == "" {
		return s
	}
	state, err := read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s
	}
	if err != nil {
		log.Error("state not read: starting without", "file", path, "err", err)
		return s
	}
	s.Add(state)
	return s
}

func read(path string) (State, error) {
	info, err := os.Stat(path)
	if err != nil {
		return State{}, err
	}
	if info.Size() > maxState {
		return State{}, fmt.Errorf("%d bytes", info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return State{}, err
	}
	return parseState(text)
}

func parseState(text []byte) (State, error) {
	var p jsonval.Parser
	o, err := p.Parse(text)
	if err != nil {
		return State{}, err
	}
	s := State{Offline: o.Texts("offline"), Listed: o.Texts("listed")}
	return s, o.Err()
}

// Add takes in what another process knows, and saves nothing.
func (s *Store) Add(more State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range more.Offline {
		s.offline[name], s.listed[name] = true, true
	}
	for _, name := range more.Listed {
		s.listed[name] = true
	}
}

// Adopt takes the word of a process that serves: what is out there is out here, and nothing else.
func (s *Store) Adopt(state State) {
	s.mu.Lock()
	clear(s.offline)
	s.mu.Unlock()
	s.Add(state)
}

// Listed notes names that the inventory has listed. It does not wait for the file: Run saves them.
func (s *Store) Listed(names []string) {
	s.Add(State{Listed: names})
	select {
	case s.changed <- struct{}{}:
	default: // to be saved already
	}
}

// Run saves what was listed until the context ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-s.changed:
			if err := s.Save(); err != nil {
				s.log.Error("names of hosts not saved", "err", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// State returns what is kept, in order.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := func(m map[string]bool) []string {
		all := make([]string, 0, len(m))
		for name := range m {
			all = append(all, name)
		}
		slices.Sort(all)
		return all
	}
	return State{Offline: keys(s.offline), Listed: keys(s.listed)}
}

// Name is the name of a dispatcher's file of a kind. It holds for every process of that dispatcher, and whatever the
// dispatcher is called it stays inside its folder.
func Name(dispatcher, kind string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, dispatcher)
	return "liftgauge-" + safe[:min(len(safe), 40)] + "." + kind
}

// SetOffline notes whether operators have left a host out, and returns once that is saved.
func (s *Store) SetOffline(name string, out bool) error {
	s.mu.Lock()
	if delete(s.offline, name); out {
		s.offline[name] = true
	}
	s.listed[name] = true
	s.mu.Unlock()
	return s.Save()
}

// Save replaces the file by one with the present state.
func (s *Store) Save() error {
	if s.path == "" {
		return nil
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	state := s.State()
	text := jsonval.AppendObject(nil, jsonval.NewMember("offline", state.Offline), jsonval.NewMember("listed", state.Listed))
	return replace(s.path, text)
}

// replace puts a file in the place of another at once: whoever reads sees the one or the other.
func replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("save state: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("save state: %w", err)
	}
	return nil
}
