package nodeconfig

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// watchReport is one call of changed.
type watchReport struct {
	name string
	err  error
	at   time.Duration
}

// betweenPolls delays a write to the middle between two polls: at the instant of a poll, the writer and the watch would run concurrently, and
// the watch might find the file truncated and not yet written.
const betweenPolls = pollInterval / 2

// startWatch writes the example and watches it inside the synctest bubble.
func startWatch(t *testing.T) (path string, hangup chan os.Signal, reports chan watchReport) {
	is := is.New(t)
	path = filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(path, []byte(example), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	hangup, reports = make(chan os.Signal), make(chan watchReport, 16)
	start := time.Now()
	go Watch(t.Context(), path, s, hangup, func(s *Settings, err error) {
		r := watchReport{err: err, at: time.Since(start)}
		if err == nil {
			r.name = s.NodeName
		}
		reports <- r
	})
	return path, hangup, reports
}

func renamed(name string) []byte {
	return []byte(strings.Replace(example, "edge-chaguanas-hall-1", name, 1))
}

func TestWatchDetectsChangesWithoutSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		path, _, reports := startWatch(t)
		time.Sleep(1500 * time.Millisecond) // on the bubble's clock
		synctest.Wait()
		is.Equal(len(reports), 0) // the file is unchanged since it was loaded
		is.NoErr(os.WriteFile(path, renamed("second"), 0o600))
		is.Equal(<-reports, watchReport{"second", nil, 2 * time.Second})
	})
}

func TestWatchReadsImmediatelyOnSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		path, hangup, reports := startWatch(t)
		is.NoErr(os.WriteFile(path, renamed("second"), 0o600))
		hangup <- syscall.SIGHUP
		is.Equal(<-reports, watchReport{"second", nil, 0})
		hangup <- syscall.SIGHUP // nothing new
		synctest.Wait()
		is.Equal(len(reports), 0)
	})
}

// TestWatchReportsInvalidContentOnce leaves a file partially written for a while.
func TestWatchReportsInvalidContentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		path, _, reports := startWatch(t)
		is.NoErr(os.WriteFile(path, renamed("second")[:300], 0o600))
		is.True((<-reports).err != nil)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		is.Equal(len(reports), 0)
		time.Sleep(betweenPolls)
		is.NoErr(os.Remove(path)) // the file is missing for a moment
		time.Sleep(2 * pollInterval)
		is.NoErr(os.WriteFile(path, renamed("second"), 0o600))
		r := <-reports
		is.NoErr(r.err)
		is.Equal(r.name, "second")
	})
}

// TestWatchReadsPeriodically changes the content, but neither size nor modification time.
func TestWatchReadsPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		path, _, reports := startWatch(t)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		info, err := os.Stat(path)
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, renamed("edge-chaguanas-hall-2"), 0o600))
		is.NoErr(os.Chtimes(path, info.ModTime(), info.ModTime()))
		is.Equal(<-reports, watchReport{"edge-chaguanas-hall-2", nil, readEveryPoll * pollInterval})
	})
}

func TestWatchEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			Watch(ctx, "none", &Settings{}, nil, func(*Settings, error) { t.Error("called") })
			close(ended)
		}()
		cancel()
		<-ended
	})
}
