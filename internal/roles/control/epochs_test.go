package control

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"liftgauge/placement"
	"liftgauge/replication"
)

// A partition that is running out of epochs is logged once well before the limit and once at the limit, and no partition takes a view beyond it.
func TestExhaustionOfEpochsIsLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.WarnLevel)
	p := &primary{daemon: &daemon{logger: zap.New(core)}}
	allowsChange := func(epoch uint64) bool {
		return p.allowsChange(&placement.Change{Partition: 3, View: placement.View{Epoch: epoch}})
	}
	is.True(allowsChange(replication.EpochWarning - 1))
	is.Equal(logs.Len(), 0)
	is.True(allowsChange(replication.EpochWarning))
	is.True(allowsChange(replication.EpochLimit - 1))
	is.Equal(logs.Len(), 1)
	is.True(!allowsChange(replication.EpochLimit))
	is.True(!allowsChange(replication.EpochLimit + 7))
	is.Equal(logs.Len(), 2)
}
