package store

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"liftgauge/replication"
)

const (
	identityKey   = "identity"
	diskIDBytes   = 8
	recordsFolder = "records"
)

// loadMember returns the member name that belongs to the disk, and generates a random disk id on an empty disk.
func loadMember(storage replication.Storage, nodeName string) (string, error) {
	record, found, err := storage.Get(replication.LocalGroup, identityKey)
	if err != nil {
		return "", errors.Wrap(err, "read the identity of the disk; check the disk, or empty DataDir to begin as a new member")
	}
	if found {
		return nodeName + "/" + string(record.Value), nil
	}
	id := make([]byte, diskIDBytes)
	rand.Read(id) // never fails
	value := []byte(hex.EncodeToString(id))
	done := make(chan error, 1)
	storage.Append(replication.LocalGroup, []replication.Record{{Key: identityKey, Version: 1, Value: value}}, func(err error) { done <- err })
	if err := <-done; err != nil {
		return "", errors.Wrap(err, "write the identity of the disk; check that DataDir is writable and has room")
	}
	return nodeName + "/" + string(value), nil
}
