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

// randomID returns a new random id.
func randomID() string {
	var b [randomIDBytes]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// messageID returns the id of a message: its partition, and the id of its request if that is valid there, else a random one.
func messageID(partition uint32, requestID string) string {
	if !isPlainName(requestID) || len(requestID) > maxIDLength-partitionDigits-1 {
		requestID = randomID()
	}
	return fmt.Sprintf("%0*x-%s", partitionDigits, partition, requestID)
}

// partitionOfID extracts the partition from a message's id.
func partitionOfID(id string) (partition uint32, ok bool) {
	digits, rest, found := strings.Cut(id, "-")
	if !found || len(id) > maxIDLength || len(digits) != partitionDigits || !isPlainName(rest) || strings.ToLower(digits) != digits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}

// isPlainName reports whether a name is not empty and consists only of letters, digits and '-_.'.
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
