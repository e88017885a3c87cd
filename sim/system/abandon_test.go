package system

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"liftgauge/internal/operator"
	"liftgauge/internal/protocol"
)

// TestPartitionsRestartEmptyAfterAbandonment permanently loses two of four stores, one more than F: the partitions with copies on both are
// unavailable until the operator abandons the disks, and accept and deliver messages after that.
func TestPartitionsRestartEmptyAfterAbandonment(t *testing.T) {
	play(t, Options{Seed: 33, Stores: 4}, func(t *testing.T, w *World) {
		is := is.NewRelaxed(t)
		time.Sleep(bounds.Contact()) // the first partition table exists
		stores := w.ByRole(protocol.RoleStore)
		lost := []*Process{stores[0], stores[3]} // both in one zone, which may hold all copies of a partition
		for _, p := range lost {
			is.NoErr(p.LosePower())
			p.Wipe()
		}
		time.Sleep(2 * time.Second)
		client := operator.New([]string{hostPort(w.controlPrimary().IP, controlPort)}, &http.Transport{DialContext: w.Net.Host(operatorIP).DialContext, DisableKeepAlives: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		status, err := client.Status(ctx)
		is.NoErr(err)
		is.True(status.Partitions.Waiting > 0)
		for _, p := range lost {
			_, err := client.Abandon(ctx, p.Name)
			is.NoErr(err)
		}
		time.Sleep(bounds.Contact())
		status, err = client.Status(ctx)
		is.NoErr(err)
		is.Equal(status.Partitions.Waiting, 0)
		is.Equal(status.Partitions.Short, 0)
		traffic(w, 10*time.Second)
		is.Equal(w.Checker.Figures().Open, 0)
		is.Equal(w.Checker.Figures().Refused, 0)
	})
}
