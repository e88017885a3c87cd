package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"liftgauge/internal/config"
	"liftgauge/internal/gossip"
	"liftgauge/internal/serve/control"
	"liftgauge/internal/serve/engine"
	"liftgauge/member"
)

// fellows is membership as the program starts and asks it; nil where settings leave it off.
type fellows struct{ *gossip.Node }

// openMembership opens the socket that the settings ask for. What membership finds out reaches the module as this dispatcher's number, how
// many there are, and how many in its zone; where it is not in touch with most of the fleet the settings' figures hold.
func openMembership(ctx context.Context, c *config.Config, own *own, o *engine.Engine, now func() time.Duration, log *slog.Logger) (*fellows, error) {
	s := own.Membership
	if s == nil {
		return nil, nil
	}
	codec, err := gossip.NewCodec(s.Cluster)
	if err != nil {
		return nil, err
	}
	udp, err := gossip.Listen(ctx, s.Listen)
	if err != nil {
		return nil, err
	}
	conf := member.Config{Seeds: s.Seeds, FleetSize: c.Settings.Dispatchers, SuspicionTimeout: time.Duration(s.Silent), IgnoreRefusals: !s.Refusals, BytesPerSecond: s.Bytes,
		// The start's time: a process that comes back has a higher one.
		Self: member.Peer{ID: member.ID{Name: c.Name, Incarnation: uint64(now() / time.Millisecond)}, Address: cmp.Or(s.Advertise, udp.Address()), Zone: c.Settings.Zone, Number: c.Settings.Number}}
	log.Info("membership", "listen", udp.Address(), "cluster", s.Cluster, "seeds", len(s.Seeds))
	return &fellows{gossip.New(gossip.Config{Member: conf.WithDefaults(time.Duration(s.RoundTrip)), Codec: codec, Transport: udp, Seed: c.Seed, Now: now, Log: log,
		OnPositionChange: func(p gossip.FleetPosition) { o.SetDispatchers(p.Rank, p.Members, p.InZone) }})}, nil
}

// figures are its counts; none where membership is off.
func (f *fellows) figures() []control.Metric {
	if f == nil {
		return nil
	}
	c, p := f.Counts(), f.Position()
	known := int64(0)
	if p.Known {
		known = 1
	}
	return []control.Metric{{Name: "membership_in_touch", Value: known}, {Name: "membership_members", Value: int64(p.Members)}, {Name: "membership_sent_total", Value: c.Sent},
		{Name: "membership_received_total", Value: c.Received}, {Name: "membership_refused_total", Value: c.Refused},
		{Name: "membership_dropped_total", Value: c.Foreign + c.Newer + c.Malformed}}
}

// status is what operators are told; nil where membership is off.
func (f *fellows) status() func(ctx context.Context) ([]byte, error) {
	if f == nil {
		return nil
	}
	return func(ctx context.Context) ([]byte, error) {
		s, err := f.Status(ctx)
		if err != nil {
			return nil, err
		}
		return json.Marshal(s)
	}
}

func membersCommand() *cobra.Command {
	var at string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "members",
		Short: "Show which dispatchers of the fleet live, as a running one sees it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := &http.Client{Timeout: 3 * time.Second}
			answer, err := client.Get("http://" + at + "/control/members")
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			text, err := io.ReadAll(io.LimitReader(answer.Body, 4<<20))
			if err != nil {
				return err
			}
			if answer.StatusCode != http.StatusOK {
				return errors.New(strings.TrimSpace(string(text)))
			}
			if asJSON {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(string(text)))
				return err
			}
			var s gossip.Status
			if err := json.Unmarshal(text, &s); err != nil {
				return err
			}
			return table(cmd.OutOrStdout(), &s)
		},
	}
	cmd.Flags().StringVar(&at, "control", "127.0.0.1:9443", "control address of a running dispatcher")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func table(out io.Writer, s *gossip.Status) error {
	fmt.Fprintf(out, "%s (incarnation %d): %s, view %d of lineage %x, number %d of %d, in touch with most: %v\n", s.Name, s.Incarnation, s.State, s.View, s.Lineage, s.Number, len(s.Members), s.InTouch)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tincarnation\taddress\tzone\tstate\theard\tsuspected by")
	for _, m := range s.Members {
		heard := "-"
		if m.Watched {
			heard = fmt.Sprintf("%d ms ago", m.HeardMS)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%s\t%s\n", m.Name, m.Incarnation, m.Address, m.Zone, m.State, heard, strings.Join(m.SuspectedBy, ", "))
	}
	return w.Flush()
}
