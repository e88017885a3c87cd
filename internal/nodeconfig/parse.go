package nodeconfig

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// minPorts is the minimum size of the internal port range: one port for each role.
const minPorts = 3

// Parse reads and validates the content of a settings file; the name is used in errors.
func Parse(name string, content []byte) (*Settings, error) {
	var values map[string]any
	if err := toml.Unmarshal(content, &values); err != nil {
		return nil, syntaxError(name, err)
	}
	d := &document{file: name}
	top := table{document: d, values: values}
	s := readTop(top)
	s.File, s.content = name, content
	s.BindAddresses = readBindAddresses(top.table("BindAddresses"), s)
	s.Limits = readLimits(top.table("Limits"))
	s.FaultTolerance = readFaultTolerance(top.table("FaultTolerance"))
	s.Bounds = readBounds(top.table("Bounds"))
	s.CloudApi = readCloudApi(top.table("CloudApi"), s)
	if d.fieldError != nil {
		return nil, d.fieldError
	}
	return s, nil
}

func syntaxError(name string, err error) error {
	fieldError := &FieldError{Kind: FieldSyntax, File: name, Field: "(file)", Found: err.Error(), Wanted: "TOML"}
	if decodeError, ok := err.(*toml.DecodeError); ok {
		line, column := decodeError.Position()
		fieldError.Field = fmt.Sprintf("(line %d, column %d)", line, column)
	}
	return fieldError
}

func readTop(t table) *Settings {
	s := &Settings{
		NodeName:     t.requiredText("NodeName", "the machine's name", notEmpty),
		Role:         t.text("Role", ""),
		MachineClass: t.text("MachineClass", ""),
		Serves:       t.requiredTexts("Serves", "a list of edge, control, storage", isCapability),
		Ip:           t.requiredText("Ip", "the machine's IP address", isIP),
		Zone:         t.requiredText("Zone", "the machine's zone", notEmpty),
		Region:       t.text("Region", ""),
	}
	s.InternalPortRange = t.ports("InternalPortRange")
	s.SeedNodes = t.requiredTexts("SeedNodes", "a list of one address or more, each as IP:PORT", isAddress)
	s.Bootstrap = t.flag("Bootstrap")
	s.CountsForQuorum = t.flag("CountsForQuorum")
	if s.HasCapability(ServesStorage) {
		s.DataDir = t.requiredText("DataDir", "a folder on the machine's disk", notEmpty)
	} else {
		s.DataDir = t.text("DataDir", "")
	}
	zones := t.table("Zones")
	s.Zones = make(map[string]string, len(zones.values)+1)
	for _, zone := range slices.Sorted(maps.Keys(zones.values)) {
		s.Zones[zone] = zones.requiredText(zone, "the zone's region", notEmpty)
	}
	if s.Region == "" {
		s.Region = s.Zones[s.Zone]
	}
	if _, ok := s.Zones[s.Zone]; !ok {
		s.Zones[s.Zone] = s.Region
	}
	return s
}

func readBindAddresses(t table, s *Settings) BindAddresses {
	address := func(key, capability string) string {
		const wanted = "an address as IP:PORT"
		if s.HasCapability(capability) {
			return t.requiredText(key, wanted+", since Serves holds "+capability, isAddress)
		}
		return t.checkedText(key, wanted, isAddress)
	}
	return BindAddresses{
		Frontend:     address("Frontend", ServesEdge),
		Readiness:    address("Readiness", ServesEdge),
		ControlPlane: address("ControlPlane", ServesControl),
	}
}

func readLimits(t table) Limits {
	return Limits{
		CpuShare:      t.number("CpuShare", 1),
		CpuCores:      t.number("CpuCores", 1),
		MemoryMb:      int(t.number("MemoryMb", 0)),
		MaxOpenFiles:  int(t.number("MaxOpenFiles", 0)),
		BandwidthMbps: t.number("BandwidthMbps", 0),
		DiskMb:        int(t.number("DiskMb", 0)),
	}
}

func readFaultTolerance(t table) FaultTolerance {
	return FaultTolerance{
		Machines: t.requiredInteger("Machines", "how many machines may be lost at a time"),
		Zones:    t.integer("Zones"),
		Regions:  t.integer("Regions"),
	}
}

func readBounds(t table) Bounds {
	b := defaultBounds
	for key, to := range map[string]*float64{
		"SeedLagS": &b.SeedLagS, "ReuseAfterS": &b.ReuseAfterS, "ContactMs": &b.ContactMs, "AckMs": &b.AckMs,
		"CatchUpS": &b.CatchUpS, "DrainMs": &b.DrainMs, "GraceS": &b.GraceS, "LossSlackMs": &b.LossSlackMs,
		"ConfigApplyMs": &b.ConfigApplyMs, "RollbackSlackMs": &b.RollbackSlackMs, "MaxSkewMs": &b.MaxSkewMs,
		"RecoveryS": &b.RecoveryS, "CompletionS": &b.CompletionS, "StatusS": &b.StatusS,
		"EarliestMs": &b.EarliestMs, "CeilingWindowS": &b.CeilingWindowS,
		"OriginOverage": &b.OriginOverage,
	} {
		*to = t.number(key, *to)
	}
	return b
}

func readCloudApi(t table, s *Settings) CloudApi {
	const wanted = "the address of the platform's list as IP:PORT"
	c := CloudApi{RatePerS: t.number("RatePerS", defaultListRate), MaxLagMs: t.number("MaxLagMs", defaultListLagMs)}
	if s.HasCapability(ServesEdge) || s.HasCapability(ServesControl) {
		c.Address = t.requiredText("Address", wanted, isAddress)
	} else {
		c.Address = t.checkedText("Address", wanted, isAddress)
	}
	return c
}

// Defaults for the platform's list of workers.
const (
	defaultListRate  = 1
	defaultListLagMs = 1000
)

func notEmpty(text string) bool { return text != "" }

func isIP(text string) bool {
	_, err := netip.ParseAddr(text)
	return err == nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isCapability(text string) bool {
	return text == ServesEdge || text == ServesControl || text == ServesStorage
}
