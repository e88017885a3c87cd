package gearman

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"liftgauge/internal/gearman/packet"
)

// line reads a line of the administrative protocol and answers it. An error ends the connection.
func (c *conn) line() error {
	done := c.limit(packet.MaxLineLength)
	text, err := c.r.Line()
	done()
	if errors.Is(err, packet.ErrLineTooLong) {
		c.malformed()
		c.send([]byte("ERR line_too_long a+line+may+have+1024+bytes\n"), true)
		return err
	}
	if err != nil {
		return err
	}
	if text == "" {
		return nil
	}
	c.send([]byte(c.s.admin(c, strings.Fields(text))), true)
	return nil
}

// refuse is the text protocol's error: spaces stand as plus signs, as the specification has it.
func refuse(code, text string) string {
	return "ERR " + code + " " + strings.ReplaceAll(text, " ", "+") + "\n"
}

// admin answers one command.
func (s *Server) admin(c *conn, words []string) string {
	if len(words) == 0 {
		return refuse("UNKNOWN_COMMAND", "want a command")
	}
	var b strings.Builder
	switch words[0] {
	case "version":
		return "OK liftgauge\n"
	case "getpid":
		return fmt.Sprintf("OK %d\n", os.Getpid())
	case "verbose":
		return "OK INFO\n"
	case "workers":
		s.listWorkers(&b)
	case "status":
		s.listStatus(&b, false)
	case "prioritystatus", "priority-status":
		s.listStatus(&b, true)
	case "show":
		switch {
		case len(words) == 2 && words[1] == "jobs":
			s.listJobs(&b, false)
		case len(words) == 3 && words[1] == "unique" && words[2] == "jobs":
			s.listJobs(&b, true)
		default:
			return refuse("UNKNOWN_ARGUMENTS", "want show jobs or show unique jobs")
		}
	case "cancel":
		if len(words) != 3 || words[1] != "job" {
			return refuse("UNKNOWN_ARGUMENTS", "want cancel job HANDLE")
		}
		if !s.cancel(words[2]) {
			return refuse("UNKNOWN_JOB", "no job of that handle waits")
		}
		return "OK\n"
	case "maxqueue":
		return s.maxqueue(words[1:])
	case "shutdown":
		graceful := len(words) == 2 && words[1] == "graceful"
		switch {
		case len(words) > 2 || len(words) == 2 && !graceful:
			return refuse("UNKNOWN_ARGUMENTS", "want shutdown or shutdown graceful")
		case !s.settings.Load().Shutdown || s.Shutdown == nil:
			return refuse("NOT_ALLOWED", "the settings do not allow it")
		}
		s.Log.Info("gearman: shutdown asked for", "peer", c.RemoteAddr())
		s.Shutdown()
		return "OK\n"
	default:
		return refuse("UNKNOWN_COMMAND", "unknown server command")
	}
	b.WriteString(".\n")
	return b.String()
}

// listWorkers is a line for each connection: descriptor, address, client id, functions. The descriptor is a number of ours.
func (s *Server) listWorkers(w io.StringWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *conn) int { return int(int64(a.id) - int64(b.id)) })
	for _, c := range all {
		client, functions := "-", ""
		if c.client != "" {
			client = plain(c.client)
		}
		if c.worker != nil {
			for _, f := range c.worker.FunctionNames() {
				functions += " " + plain(f)
			}
		}
		address := c.RemoteAddr().String()
		if i := strings.LastIndexByte(address, ':'); i > 0 {
			address = address[:i]
		}
		w.WriteString(fmt.Sprintf("%d %s %s :%s\n", c.id, address, client, functions))
	}
}

// plain keeps a name to one word of one line.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == 0x7f {
			return '_'
		}
		return r
	}, s)
}

// listStatus is a line for each function: its name, jobs in all, jobs that run, workers that can do it; or its name, jobs
// that wait by priority, high first, and workers.
func (s *Server) listStatus(w io.StringWriter, byPriority bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.table.Load().Functions() {
		n, workers := s.jobs.Count(f.Name), 0
		for _, c := range s.workers {
			if c.worker.Can(f.Name) {
				workers++
			}
		}
		if byPriority {
			w.WriteString(fmt.Sprintf("%s\t%d\t%d\t%d\t%d\n", plain(f.Name), n.Waiting[1], n.Waiting[0], n.Waiting[2], workers))
		} else {
			w.WriteString(fmt.Sprintf("%s\t%d\t%d\t%d\n", plain(f.Name), n.Waiting[0]+n.Waiting[1]+n.Waiting[2]+n.Running, n.Running, workers))
		}
	}
}

// listJobs is a line for each open job: handle, tries so far, whether it is to be ignored, whether it waits; or its unique
// id alone.
func (s *Server) listJobs(w io.StringWriter, unique bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs.All() {
		switch waits := 1; {
		case unique && j.Unique != "":
			w.WriteString(plain(j.Unique) + "\n")
		case !unique:
			if j.Running {
				waits = 0
			}
			w.WriteString(fmt.Sprintf("%s\t0\t0\t%d\n", j.Handle, waits))
		}
	}
}

// maxqueue bounds the waiting jobs of a function; without a number, or with one below 0, the settings count again.
func (s *Server) maxqueue(args []string) string {
	if len(args) < 1 || len(args) > 4 {
		return refuse("UNKNOWN_ARGUMENTS", "want maxqueue FUNCTION and a number")
	}
	if _, ok := s.table.Load().Function(args[0]); !ok {
		return refuse("UNKNOWN_FUNCTION", "no such function here")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(args) == 1 {
		delete(s.queues, args[0])
		return "OK\n"
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return refuse("UNKNOWN_ARGUMENTS", "want a number")
	}
	if n < 0 {
		delete(s.queues, args[0])
	} else {
		s.queues[args[0]] = n
	}
	return "OK\n"
}
