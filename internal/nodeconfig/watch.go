package nodeconfig

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Polling by Watch: each poll checks the modification time and size of the file, and every readEveryPoll polls the file is read even if both
// are unchanged.
const (
	pollInterval  = time.Second
	readEveryPoll = 10
)

// Watch calls changed for each new content of the settings file until the context ends: immediately after a signal, otherwise when a poll
// finds it. The call is made on the goroutine of Watch, with an error if the new content is invalid: the previous settings then remain in
// effect. The first content that is reported differs from that of current.
func Watch(ctx context.Context, path string, current *Settings, hangup <-chan os.Signal, changed func(*Settings, error)) {
	w := watcher{path: path, content: current.content}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		if content, ok := w.poll(signalled); ok {
			changed(Parse(path, content))
		}
	}
}

// watcher holds the last observed state of a file.
type watcher struct {
	path    string
	content []byte
	size    int64
	time    time.Time
	polls   int
}

// poll returns the content of the file if it differs from the last observed content. A file that cannot be read, for example while it is
// being replaced, counts as unchanged.
func (w *watcher) poll(read bool) ([]byte, bool) {
	info, err := os.Stat(w.path)
	if err != nil {
		return nil, false
	}
	w.polls++
	unchanged := info.Size() == w.size && info.ModTime().Equal(w.time)
	if unchanged && !read && w.polls%readEveryPoll != 0 {
		return nil, false
	}
	content, err := os.ReadFile(w.path)
	if err != nil {
		return nil, false
	}
	w.size, w.time = info.Size(), info.ModTime()
	if bytes.Equal(content, w.content) {
		return nil, false
	}
	w.content = content
	return content, true
}
