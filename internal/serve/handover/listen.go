package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Listen returns the clients' listener: the socket that the platform passes to every process if descriptor names it, else a
// new one at the address. An inherited socket is shared with other processes: it is closed here when no longer needed, and
// never shut down.
func Listen(ctx context.Context, address, descriptor string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false) // the platform supports plain TCP only
	if descriptor == "" {
		l, err := c.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	fd, err := strconv.ParseUint(descriptor, 10, 16)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("LB_INHERITED_FD: want a descriptor, have %q", descriptor)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close() // FileListener duplicates it
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("LB_INHERITED_FD: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, errors.New("LB_INHERITED_FD: want a TCP socket")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("LB_INHERITED_FD: %w", err)
	}
	return &sharedListener{tcp, raw}, nil
}

// sharedListener is a listener on a socket that other processes have too. They share its blocking flag, which the parent of a new
// process may set (os/exec does). An accept then blocks in the kernel, where neither the runtime's poller nor Close can end it.
type sharedListener struct {
	*net.TCPListener
	raw syscall.RawConn
}

// Accept clears the blocking flag first. It may be set again before the accept itself, so Close may still have to wait.
func (l *sharedListener) Accept() (net.Conn, error) {
	var err error
	if controlErr := l.raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) }); controlErr != nil {
		return nil, controlErr
	}
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return l.TCPListener.Accept()
}

// socketDir is the directory in which the processes of a dispatcher find each other's sockets.
type socketDir struct {
	path   string
	prefix string
	open   *os.File // set if the path is too long for a socket address
}

const (
	socketSuffix  = ".sock"
	maxSocketPath = 100 // the kernel allows 107 bytes
)

func openSocketDir(path, dispatcher string) (*socketDir, error) {
	f := &socketDir{path: path, prefix: FileName(dispatcher, "")}
	if len(path)+1+len(f.prefix)+8+len(socketSuffix) > maxSocketPath {
		open, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		f.open = open
	}
	return f, nil
}

// address returns a path by which a socket can be bound and dialled, however long the directory's path is.
func (f *socketDir) address(socket string) string {
	if f.open != nil {
		return fmt.Sprintf("/proc/self/fd/%d/%s", f.open.Fd(), socket)
	}
	return filepath.Join(f.path, socket)
}

// sockets lists the sockets of this dispatcher's processes.
func (f *socketDir) sockets() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	var all []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), f.prefix) && strings.HasSuffix(e.Name(), socketSuffix) {
			all = append(all, e.Name())
		}
	}
	return all, err
}

func (f *socketDir) close() {
	if f.open != nil {
		f.open.Close()
	}
}
