package sitevariant

import "slices"

// tables returns the list of tables under a key, or nil if there is none.
func tables(s site, key string) []site {
	list, _ := s[key].([]any)
	var out []site
	for _, entry := range list {
		if table, ok := entry.(site); ok {
			out = append(out, table)
		}
	}
	return out
}

// setTables replaces the list of tables under a key.
func setTables(s site, key string, list []site) {
	out := make([]any, len(list))
	for i, table := range list {
		out[i] = table
	}
	s[key] = out
}

// scale multiplies the numbers under the given keys. Missing keys are skipped, and integers stay at least 1.
func scale(table site, factor float64, keys ...string) {
	for _, key := range keys {
		switch n := table[key].(type) {
		case float64:
			table[key] = n * factor
		case int64:
			table[key] = max(1, int64(float64(n)*factor))
		}
	}
}

// subtable returns the table under a key. If there is none it returns an empty table that is not part of s.
func subtable(s site, key string) site {
	if table, ok := s[key].(site); ok {
		return table
	}
	return site{}
}

func storeMachines(s site) []site {
	return slices.DeleteFunc(tables(s, "machines"), func(m site) bool { return m["class"] != "store" })
}

func distant(s site) {
	subtable(s, "net")["cross_zone_ms"] = 6.0
	setSync(s, 4)
}

func oneService(s site) {
	classes := tables(s, "classes")[:1]
	name, service := classes[0]["name"].(string), classes[0]["service"]
	setTables(s, "classes", classes)
	isKept := func(t site) bool { return t["name"] == service }
	setTables(s, "services", slices.DeleteFunc(tables(s, "services"), func(t site) bool { return !isKept(t) }))
	restrictTraffic := func(traffic []site) {
		for _, t := range traffic {
			t["mix"] = site{name: 10.0}
			scale(t, 0.5, "per_s")
		}
	}
	restrictTraffic(tables(s, "traffic"))
	for _, day := range tables(s, "day") {
		restrictTraffic(tables(day, "traffic"))
		delete(day, "floor_classes")
		for _, list := range []string{"plan", "faults"} {
			setTables(day, list, slices.DeleteFunc(tables(day, list), func(t site) bool { return concernsOther(t, name, service) }))
		}
	}
	setTables(s, "troubles", slices.DeleteFunc(tables(s, "troubles"), func(t site) bool { return concernsOther(t, name, service) }))
}

// concernsOther reports whether a trouble names a service or a kind of request other than the given ones.
func concernsOther(trouble site, class string, service any) bool {
	if c, named := trouble["class"]; named && c != class {
		return true
	}
	named, ok := trouble["service"].(string)
	return ok && named != service
}

func orderedClasses(s site) []site {
	return slices.DeleteFunc(tables(s, "classes"), func(c site) bool { return subtable(c, "ingest")["ordered"] != true })
}

func unordered(s site) {
	for _, class := range orderedClasses(s) {
		delete(subtable(class, "ingest"), "ordered")
		delete(class, "things")
		delete(class, "skew")
	}
}

func hotKey(s site) {
	for _, class := range orderedClasses(s) {
		class["things"], class["skew"] = int64(60), 0.9
	}
}

func largeBodies(s site) {
	for _, class := range tables(s, "classes") {
		scale(subtable(class, "req_bytes"), 4, "mean", "max")
	}
}

func shortTimeouts(s site) {
	for _, class := range tables(s, "classes") {
		scale(class, 0.7, "timeout_ms")
	}
}

func coldWorkers(s site) {
	for _, service := range tables(s, "services") {
		if service["fixed"] != true {
			service["cold_s"], service["cold_x"] = 8.0, 3.0
		}
	}
}

func smallWorkers(s site) {
	for _, service := range tables(s, "services") {
		if service["fixed"] == true {
			continue
		}
		scale(service, 0.5, "slots", "queue")
		for _, servers := range tables(service, "servers") {
			scale(servers, 2, "count")
		}
	}
}

func twoStoresAZone(s site) {
	for _, machine := range storeMachines(s) {
		machine["count"] = int64(2)
	}
	for _, machine := range tables(s, "machines") {
		if machine["counted"] == true {
			machine["count"] = int64(2)
		}
	}
	subtable(s, "tolerate")["machines"] = int64(2)
}

func threeZones(s site) {
	zones := tables(s, "zones")
	last := zones[len(zones)-1]["name"]
	inLastZone := func(t site) bool { return t["zone"] == last }
	setTables(s, "zones", zones[:len(zones)-1])
	for _, list := range []string{"machines", "traffic"} {
		setTables(s, list, slices.DeleteFunc(tables(s, list), inLastZone))
	}
	for _, service := range tables(s, "services") {
		setTables(service, "servers", slices.DeleteFunc(tables(service, "servers"), inLastZone))
	}
	for _, day := range tables(s, "day") {
		setTables(day, "traffic", slices.DeleteFunc(tables(day, "traffic"), inLastZone))
	}
}

func smallDisks(s site) {
	for _, machine := range storeMachines(s) {
		subtable(machine, "disk")["mb"] = int64(40)
	}
}

func fastDisks(s site) { setSync(s, 1) }

func slowDisks(s site) { setSync(s, 12) }

func setSync(s site, milliseconds float64) {
	for _, machine := range tables(s, "machines") {
		if disk := subtable(machine, "disk"); len(disk) > 0 {
			disk["sync_ms"] = milliseconds
		}
	}
}

func halfDispatchers(s site) { scaleDispatchers(s, 0.5) }

func twiceDispatchers(s site) { scaleDispatchers(s, 2) }

// scaleDispatchers multiplies the number of front machines that only dispatch: they have no disk and are not marked as counted.
func scaleDispatchers(s site, factor float64) {
	for _, machine := range tables(s, "machines") {
		if machine["class"] == "front" && machine["counted"] != true {
			scale(machine, factor, "count", "spare")
		}
	}
}

// machineLosses are the kinds of trouble whose count is the number of machines that are lost temporarily or permanently.
var machineLosses = []any{"node_kill", "core_cut", "after_ack_wipe", "wipe_after_ack", "node_slow"}

func oneLoss(s site) {
	subtable(s, "tolerate")["machines"] = int64(1)
	limitToOne := func(troubles []site) {
		for _, trouble := range troubles {
			if _, counted := trouble["count"]; counted && slices.Contains(machineLosses, trouble["kind"]) {
				trouble["count"] = int64(1)
			}
		}
	}
	limitToOne(tables(s, "troubles"))
	for _, day := range tables(s, "day") {
		limitToOne(tables(day, "plan"))
		limitToOne(tables(day, "faults"))
	}
}

func longDay(s site) { s["length_s"] = 90.0 }
