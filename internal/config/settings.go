package config

import (
	"fmt"

	"liftgauge/balance"
	"liftgauge/internal/jsonval"
)

// ParseSettings parses the settings of an instance, in the form that both the simulator and a deployment use.
func ParseSettings(text []byte) (balance.Settings, error) {
	var p jsonval.Parser
	f, err := p.Parse(text)
	if err != nil {
		return balance.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if s, _ := settings(f); f.Err() == nil {
		return s, nil
	}
	return balance.Settings{}, fmt.Errorf("settings.%w", f.Err())
}

// settings reads the settings and the names of the classes. Errors are kept by the object.
func settings(f jsonval.Object) (s balance.Settings, classes []string) {
	rules, limits, fees, family := f.Object("rules"), f.Object("limits"), f.Object("fees"), f.Object("familyInfo")
	loads := f.Object("loadReport")
	s = balance.Settings{
		Number: int(f.Int64("slotNo")), Dispatchers: int(f.Int64("replicasOfMe")), Zone: int(f.Int64("locality")), Zones: len(f.Texts("dcs")),
		Tick: f.Duration("stepNs"), ListOnRequest: f.Text("membershipMode") == "on_request", AskWithin: rules.Duration("askWithinNs"),
		RoughWeights: f.Text("weightKind") == "rough",
		ReportsStart: family.Bool("tellsStart"),
		ValuePerWork: f.Text("worthBy") == "work", FreeSlots: -1, FreeMemory: -1,
		MaxAttempts: int(limits.Int64("maxAttempts")), ConnectTimeout: limits.Duration("connectTimeoutNs"),
		CanCancel: limits.Bool("cancel"), CanProbe: limits.Bool("probes"),
		SecondCopies: limits.Bool("secondCopies"), DrainGrace: rules.Duration("drainGraceNs"),
		StartCapacity: rules.Float("startCapacity"), WarmWithin: rules.Duration("warmWithinNs"),
		OverloadFactor: rules.Float("overloadFactor"), OverloadTime: rules.Duration("fallNs"),
		CrossZoneFee: fees.Float("crossZone"), WasteFee: fees.Float("waste"), ProbeFee: fees.Float("probe"),
		LateFee: fees.Float("lateFail"), HandshakeFee: fees.Float("handshake"),
		MarksRetry: f.Object("clients").Bool("marksRetry"),
	}
	if limits.Bool("retryAfter") {
		s.MaxRetryAfter = limits.Duration("maxRetryAfterNs")
	}
	runtimeFactors, kinds := family.Floats("classStretch"), family.Floats("classKind")
	for i, c := range f.Objects("classes") {
		k := balance.Class{TargetLatency: c.Duration("aimNs"), RuntimeFactor: c.Float("aimStretch"), Value: c.Float("credit"),
			LateValue: c.Float("lateValue"), Limit: c.Duration("hardLimitNs"), Window: c.Duration("windowNs"), Kind: -1,
			Streamed: c.Bool("streaming")}
		if i < len(runtimeFactors) {
			k.RuntimeFactor = runtimeFactors[i]
		}
		if i < len(kinds) {
			k.Kind = int(kinds[i])
		}
		switch c.Text("effect") {
		case "free":
			k.Effect = balance.Safe
		case "guarded":
			k.Effect = balance.Keyed
		}
		switch c.Text("dedupScope") {
		case "all":
			k.DedupScope = balance.DedupAll
		case "zone":
			k.DedupScope = balance.DedupZone
		}
		s.Classes = append(s.Classes, k)
		classes = append(classes, c.Text("name"))
	}
	for i, column := range loads.Texts("columns") {
		switch column {
		case "x0":
			column = family.Text("reportX0")
		case "x1":
			column = family.Text("reportX1")
		}
		switch column {
		case "free slots":
			s.FreeSlots = i
		case "free memory":
			s.FreeMemory = i
		}
	}
	return s, classes
}
