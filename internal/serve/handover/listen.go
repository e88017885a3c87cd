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

// Listen returns the clients' listener: the socket that the platform holds and hands to every process, where descriptor
// names it, else one of its own at the address. A socket that is handed down is the other processes' too: it is closed
// here when it is done with, and never shut down.
func Listen(ctx context.Context, address, descriptor string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false) // plain TCP is all that the platform has
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
	defer f.Close() // FileListener works on a copy
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

// shared is a listener on a socket that other processes have too. Whether it blocks is one flag for all of them, and whoever hands it to
// a new process may set that (os/exec does). An accept then waits in the kernel, where neither the runtime's poller nor Close reaches it.
type sharedListener struct {
	*net.TCPListener
	raw syscall.RawConn
}

// Accept takes the flag back first. It may still be set between that and the accept itself, so Close may have to wait all the same.
func (l *sharedListener) Accept() (net.Conn, error) {
	var err error
	if held := l.raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) }); held != nil {
		return nil, held
	}
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return l.TCPListener.Accept()
}

// folder is where the processes of a dispatcher find each other's sockets.
type socketDir struct {
	path   string
	prefix string
	open   *os.File // where the path is too long to be bound to
}

const (
	socketSuffix  = ".sock"
	maxSocketPath = 100 // the kernel takes 107 bytes of a path
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

// address is a name by which a socket there can be bound to and called, however long the folder's is.
func (f *socketDir) address(socket string) string {
	if f.open != nil {
		return fmt.Sprintf("/proc/self/fd/%d/%s", f.open.Fd(), socket)
	}
	return filepath.Join(f.path, socket)
}

// sockets lists those of this dispatcher's processes.
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
