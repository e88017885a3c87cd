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

// handleLine reads a line of the administrative protocol and answers it. An error ends the connection.
func (c *conn) handleLine() error {
	done := c.setReadTimeout(packet.MaxLineLength)
	text, err := c.reader.Line()
	done()
	if errors.Is(err, packet.ErrLineTooLong) {
		c.countMalformed()
		c.send([]byte("ERR line_too_long a+line+may+have+1024+bytes\n"), true)
		return err
	}
	if err != nil {
		return err
	}
	if text == "" {
		return nil
	}
	c.send([]byte(c.server.admin(c, strings.Fields(text))), true)
	return nil
}

// adminError formats an error of the text protocol, in which the specification replaces spaces by plus signs.
func adminError(code, text string) string {
	return "ERR " + code + " " + strings.ReplaceAll(text, " ", "+") + "\n"
}

// admin answers one command.
func (s *Server) admin(c *conn, words []string) string {
	if len(words) == 0 {
		return adminError("UNKNOWN_COMMAND", "want a command")
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
			return adminError("UNKNOWN_ARGUMENTS", "want show jobs or show unique jobs")
		}
	case "cancel":
		if len(words) != 3 || words[1] != "job" {
			return adminError("UNKNOWN_ARGUMENTS", "want cancel job HANDLE")
		}
		if !s.cancel(words[2]) {
			return adminError("UNKNOWN_JOB", "no job of that handle waits")
		}
		return "OK\n"
	case "maxqueue":
		return s.maxqueue(words[1:])
	case "shutdown":
		graceful := len(words) == 2 && words[1] == "graceful"
		switch {
		case len(words) > 2 || len(words) == 2 && !graceful:
			return adminError("UNKNOWN_ARGUMENTS", "want shutdown or shutdown graceful")
		case !s.settings.Load().Shutdown || s.Shutdown == nil:
			return adminError("NOT_ALLOWED", "the settings do not allow it")
		}
		s.Log.Info("gearman: shutdown requested by admin command", "peer", c.RemoteAddr())
		s.Shutdown()
		return "OK\n"
	default:
		return adminError("UNKNOWN_COMMAND", "unknown server command")
	}
	b.WriteString(".\n")
	return b.String()
}

// listWorkers writes a line for each connection: descriptor, address, client id, functions. The descriptor is the
// server's connection number.
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
		if c.clientID != "" {
			client = singleWord(c.clientID)
		}
		if c.worker != nil {
			for _, f := range c.worker.FunctionNames() {
				functions += " " + singleWord(f)
			}
		}
		address := c.RemoteAddr().String()
		if i := strings.LastIndexByte(address, ':'); i > 0 {
			address = address[:i]
		}
		w.WriteString(fmt.Sprintf("%d %s %s :%s\n", c.id, address, client, functions))
	}
}

// singleWord replaces white space and control characters, so that a name is one word on one line.
func singleWord(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == 0x7f {
			return '_'
		}
		return r
	}, s)
}

// listStatus writes a line for each function: its name, all its jobs, running jobs, workers that can run it; or by
// priority: its name, waiting jobs of high, normal and low priority, and workers.
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
			w.WriteString(fmt.Sprintf("%s\t%d\t%d\t%d\t%d\n", singleWord(f.Name), n.Waiting[1], n.Waiting[0], n.Waiting[2], workers))
		} else {
			w.WriteString(fmt.Sprintf("%s\t%d\t%d\t%d\n", singleWord(f.Name), n.Waiting[0]+n.Waiting[1]+n.Waiting[2]+n.Running, n.Running, workers))
		}
	}
}

// listJobs writes a line for each open job: handle, number of attempts (always 0), whether it is ignored (always 0),
// whether it waits; or, with unique set, only its unique id.
func (s *Server) listJobs(w io.StringWriter, unique bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs.All() {
		switch waiting := 1; {
		case unique && j.Unique != "":
			w.WriteString(singleWord(j.Unique) + "\n")
		case !unique:
			if j.Running {
				waiting = 0
			}
			w.WriteString(fmt.Sprintf("%s\t0\t0\t%d\n", j.Handle, waiting))
		}
	}
}

// maxqueue limits the waiting jobs of a function; without a number, or with a negative one, the limit of the settings
// applies again.
func (s *Server) maxqueue(args []string) string {
	if len(args) < 1 || len(args) > 4 {
		return adminError("UNKNOWN_ARGUMENTS", "want maxqueue FUNCTION and a number")
	}
	if _, ok := s.table.Load().Function(args[0]); !ok {
		return adminError("UNKNOWN_FUNCTION", "no such function here")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(args) == 1 {
		delete(s.queueLimits, args[0])
		return "OK\n"
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return adminError("UNKNOWN_ARGUMENTS", "want a number")
	}
	if n < 0 {
		delete(s.queueLimits, args[0])
	} else {
		s.queueLimits[args[0]] = n
	}
	return "OK\n"
}
