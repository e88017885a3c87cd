package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"liftgauge/replication"
)

const (
	// identityKey is the record of replication.LocalGroup that holds the ID of the disk.
	identityKey = "identity/disk"
	diskIDBytes = 8
)

// memberOf returns the member ID of a disk. The random ID of a disk is generated at its first use, and is durable before it is used.
func memberOf(ctx context.Context, storage replication.Storage, nodeName string) (string, error) {
	record, found, err := storage.Get(replication.LocalGroup, identityKey)
	if err != nil {
		return "", errors.Wrap(err, "reading the disk's identity")
	}
	if found {
		return nodeName + "/" + string(record.Value), nil
	}
	random := make([]byte, diskIDBytes)
	_, _ = rand.Read(random) // never fails
	id := hex.EncodeToString(random)
	done := make(chan error, 1)
	storage.Append(replication.LocalGroup, []replication.Record{{Key: identityKey, Version: 1, Value: []byte(id)}},
		func(err error) { done <- err })
	select {
	case err := <-done:
		return nodeName + "/" + id, errors.Wrap(err, "writing the disk's identity")
	case <-ctx.Done():
		return "", ctx.Err()
	}
}
