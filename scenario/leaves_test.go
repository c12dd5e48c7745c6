package scenario_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/standin"
)

// cmdLeaves: leaves SERVICE SHARDS REPLICAS [work=MS] [slots=N] [relay=1] [snapshot=N] starts stand-ins.
func cmdLeaves(s *system, args []string) error {
	shards, _ := strconv.Atoi(args[1])
	replicas, _ := strconv.Atoi(args[2])
	o := options(args[3:])
	fleet := bench.Fleet{
		Service: samphirepass.Service(args[0]), Shards: shards, Replicas: replicas, Slots: number(o, "slots", 3),
		Connections: number(o, "connections", 30), WorkMs: samphirepass.Millis(number(o, "work", 2)),
	}
	w := bench.Workload{DataCentres: []samphirepass.DataCentre{"derby"}}
	snapshot := samphirepass.Snapshot(number(o, "snapshot", 1))
	for _, lo := range fleet.Leaves(w, snapshot, s.entryAPIs(), 1) {
		lo.AnnounceMs = 300
		if o["relay"] == "1" {
			if err := s.relayLeaf(&lo); err != nil {
				return err
			}
		}
		l, err := standin.Start(lo)
		if err != nil {
			return err
		}
		s.leaves = append(s.leaves, l)
	}
	return nil
}

// relayLeaf lets a leaf be reached through a relay only.
func (s *system) relayLeaf(o *standin.Options) error {
	address, err := freePort("127.0.3.1")
	if err != nil {
		return err
	}
	seen, err := freePort("127.0.3.2")
	if err != nil {
		return err
	}
	relay, err := standin.NewRelay(seen, address)
	if err != nil {
		return err
	}
	s.relays[o.Leaf] = relay
	o.Address, o.Advertise = address, seen
	return nil
}

// cmdFault: fault LEAF|SERVICE|all KIND... makes the leaves of that name misbehave; KIND none mends them.
func cmdFault(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		f, err := faults(args[1:])
		l.SetFaults(f)
		return err
	})
}

func faults(kinds []string) (standin.Faults, error) {
	var f standin.Faults
	set := map[string]*bool{
		"partial": &f.PartialAnswers, "wrong-shard": &f.WrongShard, "wrong-snapshot": &f.WrongSnapshot,
		"crossed": &f.WrongRequest, "bad-digest": &f.BadDigest, "truncated": &f.Truncated, "drop": &f.DropAfterRead,
		"redirect": &f.Redirect, "silent": &f.Silent, "refuse-runs": &f.RefuseRuns, "none": new(bool),
	}
	for _, k := range kinds {
		if set[k] == nil {
			return f, fmt.Errorf("no fault %q", k)
		}
		*set[k] = true
	}
	return f, nil
}

func (s *system) eachLeaf(name string, f func(*standin.Leaf) error) error {
	found := false
	for _, l := range s.leaves {
		if name != "all" && string(l.Name()) != name && !strings.HasPrefix(string(l.Name()), name+"-") {
			continue
		}
		found = true
		if err := f(l); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("no leaf %q", name)
	}
	return nil
}

// cmdLeaf: leaf NAME drain|drain-to ENTRY|forget-drain|idle-after-drain|stop|silence-open|hold SNAPSHOT:SHARDS:SHARD,... acts on leaves.
func cmdLeaf(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		switch args[1] {
		case "drain":
			l.Drain(context.Background())
		case "drain-to":
			return l.AnnounceDrainingTo(context.Background(), s.processes[args[2]].settings.API)
		case "idle-after-drain":
			if n := l.Counts().RequestsWhileDraining; n > 0 {
				return fmt.Errorf("leaf %s got %d requests after it announced that it drains", l.Name(), n)
			}
		case "forget-drain":
			l.ResetDrainCount()
		case "stop":
			l.Stop()
		case "silence-open":
			s.relays[l.Name()].SilenceOpen()
		case "hold":
			l.SetHoldings(holdings(args[2]))
		default:
			return fmt.Errorf("no action %q", args[1])
		}
		return nil
	})
}

func holdings(arg string) []samphirepass.Holding {
	var out []samphirepass.Holding
	for _, one := range strings.Split(arg, ",") {
		var h samphirepass.Holding
		if _, err := fmt.Sscanf(one, "%d:%d:%d", &h.Snapshot, &h.Shards, &h.Shard); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// cmdShare: share LIMIT fails if any leaf ever had more than LIMIT connections.
func cmdShare(s *system, args []string) error {
	limit, _ := strconv.ParseInt(args[0], 10, 64)
	for _, l := range s.leaves {
		if c := l.Counts(); c.MaxConnections > limit || c.OverLimit > 0 {
			return fmt.Errorf("leaf %s had %d connections, %d over its limit", l.Name(), c.MaxConnections, c.OverLimit)
		}
	}
	return nil
}
