package nodeconfig

import (
	"net"
	"strconv"

	"liftgauge/internal/protocol"
)

// portOffsets maps each role to the port that it listens on, as an offset from the first port of the internal range.
var portOffsets = map[protocol.Role]int{
	protocol.RoleControl:    0,
	protocol.RoleDispatcher: 1,
	protocol.RoleStore:      2,
}

// InternalAddress returns the address at which other processes of the system reach the role on this machine, over TCP and UDP.
func (s *Settings) InternalAddress(role protocol.Role) string {
	return net.JoinHostPort(s.Ip, strconv.Itoa(s.InternalPortRange[0]+portOffsets[role]))
}

// requiredCapabilities maps each role to the capability that Serves must list for it.
var requiredCapabilities = map[protocol.Role]string{
	protocol.RoleControl:    ServesControl,
	protocol.RoleDispatcher: ServesEdge,
	protocol.RoleStore:      ServesStorage,
}

// CheckRole returns an error if the file is not meant for a process of the role, because Serves does not list the capability of the role.
func (s *Settings) CheckRole(role protocol.Role) error {
	capability := requiredCapabilities[role]
	if s.HasCapability(capability) {
		return nil
	}
	return &FieldError{Kind: FieldValue, File: s.File, Field: "Serves", Found: describeTexts(s.Serves),
		Wanted: "a list with " + capability + " for the role " + role.String()}
}

func describeTexts(texts []string) string {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return describe(values)
}
