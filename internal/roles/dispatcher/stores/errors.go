package stores

import (
	"github.com/cockroachdb/errors"

	"liftgauge/internal/protocol"
	"liftgauge/internal/rpc"
)

// isInvalid reports whether the peer rejected the frame as malformed, so that a retry is useless.
func isInvalid(err error) bool {
	var refused *rpc.RemoteError
	return errors.As(err, &refused) && refused.Code == protocol.CodeInvalid
}
