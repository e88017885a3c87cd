// Package handover stores the state that must outlive a process, and lets the old and the new process cooperate during an upgrade.
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

// State is the state that outlives a process.
type State struct {
	Offline []string // hosts that operators have set offline
	Listed  []string // hosts that were ever listed, including these
}

// maxState is the maximum size of a state file.
const maxState = 16 << 20

// Store keeps a State in a file, which is always replaced atomically. It is safe for concurrent use.
type Store struct {
	path string // empty: kept in memory only
	log  *slog.Logger

	mu              sync.Mutex // guards offline and listed
	offline, listed map[string]bool
	fileMu          sync.Mutex // guards the file; locked before mu
	saveRequested   chan struct{}
}

// Open reads the state that an earlier process has saved. A file that cannot be read is logged and ignored: serving has
// priority.
func Open(path string, log *slog.Logger) *Store {
	s := &Store{path: path, log: log, offline: map[string]bool{}, listed: map[string]bool{}, saveRequested: make(chan struct{}, 1)}
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
	s.Merge(state)
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

// Merge adds the state of another process, without saving it.
func (s *Store) Merge(other State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range other.Offline {
		s.offline[name], s.listed[name] = true, true
	}
	for _, name := range other.Listed {
		s.listed[name] = true
	}
}

// Replace takes over the state of a serving process: exactly the hosts that are offline there are offline here.
func (s *Store) Replace(state State) {
	s.mu.Lock()
	clear(s.offline)
	s.mu.Unlock()
	s.Merge(state)
}

// AddListed adds names that the inventory has listed. It does not wait for the file: Run saves them.
func (s *Store) AddListed(names []string) {
	s.Merge(State{Listed: names})
	select {
	case s.saveRequested <- struct{}{}:
	default: // already requested
	}
}

// Run saves listed names until the context ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-s.saveRequested:
			if err := s.Save(); err != nil {
				s.log.Error("names of hosts not saved", "err", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// State returns the state, sorted.
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

// FileName returns the name of a dispatcher's file of a kind. It is the same for every process of that dispatcher, and
// is a plain file name whatever the dispatcher's name contains.
func FileName(dispatcher, kind string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, dispatcher)
	return "liftgauge-" + safe[:min(len(safe), 40)] + "." + kind
}

// SetOffline records whether operators have set a host offline, and returns once that is saved.
func (s *Store) SetOffline(name string, offline bool) error {
	s.mu.Lock()
	if delete(s.offline, name); offline {
		s.offline[name] = true
	}
	s.listed[name] = true
	s.mu.Unlock()
	return s.Save()
}

// Save replaces the file by one with the current state.
func (s *Store) Save() error {
	if s.path == "" {
		return nil
	}
	s.fileMu.Lock()
	defer s.fileMu.Unlock()
	state := s.State()
	text := jsonval.AppendObject(nil, jsonval.NewMember("offline", state.Offline), jsonval.NewMember("listed", state.Listed))
	return replace(s.path, text)
}

// replace replaces a file atomically: readers see either the old or the new one.
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
