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

// membership is this dispatcher's member of the gossip fleet. It is nil if membership is not configured.
type membership struct{ *gossip.Node }

// openMembership opens the gossip socket if the settings enable membership. The engine is notified of this dispatcher's rank, the number of
// dispatchers and the number in its zone. Without contact to a majority of the fleet the values of the settings apply.
func openMembership(ctx context.Context, c *config.Config, loaded *serveSettings, o *engine.Engine, now func() time.Duration, log *slog.Logger) (*membership, error) {
	s := loaded.Membership
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
		// The incarnation is the start time, so a restarted process has a higher one.
		Self: member.Peer{ID: member.ID{Name: c.Name, Incarnation: uint64(now() / time.Millisecond)}, Address: cmp.Or(s.Advertise, udp.Address()), Zone: c.Settings.Zone, Number: c.Settings.Number}}
	log.Info("membership", "listen", udp.Address(), "cluster", s.Cluster, "seeds", len(s.Seeds))
	return &membership{gossip.New(gossip.Config{Member: conf.WithDefaults(time.Duration(s.RoundTrip)), Codec: codec, Transport: udp, Seed: c.Seed, Now: now, Log: log,
		OnPositionChange: func(p gossip.FleetPosition) { o.SetDispatchers(p.Rank, p.Members, p.InZone) }})}, nil
}

// metrics returns the membership metrics, or none if membership is off.
func (f *membership) metrics() []control.Metric {
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

// statusFunc returns the source of the member list that the control listener serves, or nil if membership is off.
func (f *membership) statusFunc() func(ctx context.Context) ([]byte, error) {
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
	var controlAddress string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "members",
		Short: "Show which dispatchers of the fleet live, as a running one sees it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := &http.Client{Timeout: 3 * time.Second}
			response, err := client.Get("http://" + controlAddress + "/control/members")
			if err != nil {
				return err
			}
			defer response.Body.Close()
			text, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
			if err != nil {
				return err
			}
			if response.StatusCode != http.StatusOK {
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
			return printMembers(cmd.OutOrStdout(), &s)
		},
	}
	cmd.Flags().StringVar(&controlAddress, "control", "127.0.0.1:9443", "control address of a running dispatcher")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func printMembers(out io.Writer, s *gossip.Status) error {
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
