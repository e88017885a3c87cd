package nodeconfig

import (
	"net"
	"strconv"

	"liftgauge/internal/protocol"
)

// portOffsets holds which port of the internal range each role listens on, counted from the first.
var portOffsets = map[protocol.Role]int{
	protocol.RoleControl:    0,
	protocol.RoleDispatcher: 1,
	protocol.RoleStore:      2,
}

// InternalAddress returns the address at which other processes of the system reach the role on this machine, by TCP and UDP.
func (s *Settings) InternalAddress(role protocol.Role) string {
	return net.JoinHostPort(s.Ip, strconv.Itoa(s.InternalPortRange[0]+portOffsets[role]))
}

// servesWords holds what each role must serve.
var servesWords = map[protocol.Role]string{
	protocol.RoleControl:    ServesControl,
	protocol.RoleDispatcher: ServesEdge,
	protocol.RoleStore:      ServesStorage,
}

// CheckRole tells whether the file is for a process of the role: it is not when Serves lacks what the role serves.
func (s *Settings) CheckRole(role protocol.Role) error {
	word := servesWords[role]
	if s.HasCapability(word) {
		return nil
	}
	return &FieldError{Kind: FieldValue, File: s.File, Field: "Serves", Found: describeTexts(s.Serves),
		Wanted: "a list with " + word + " for the role " + role.String()}
}

func describeTexts(texts []string) string {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return describe(values)
}
