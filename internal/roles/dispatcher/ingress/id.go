package ingress

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxIDLength     = 64 // of X-Message-Id
	partitionDigits = 4
	randomIDBytes   = 8
)

// drawID returns a new random name.
func randomID() string {
	var b [randomIDBytes]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// messageID names a message: its partition, and the id of its request if that may stand there.
func messageID(partition uint32, requestID string) string {
	if !isPlainName(requestID) || len(requestID) > maxIDLength-partitionDigits-1 {
		requestID = randomID()
	}
	return fmt.Sprintf("%0*x-%s", partitionDigits, partition, requestID)
}

// partitionOf reads the partition out of a message's name.
func partitionOfID(id string) (partition uint32, ok bool) {
	digits, rest, found := strings.Cut(id, "-")
	if !found || len(id) > maxIDLength || len(digits) != partitionDigits || !isPlainName(rest) || strings.ToLower(digits) != digits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}

// plain tells whether a name is made of letters, digits and '-_.' only, and is not empty.
func isPlainName(name string) bool {
	for i := range len(name) {
		switch c := name[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return name != ""
}
