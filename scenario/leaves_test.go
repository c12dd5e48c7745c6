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

// cmdLeaves implements "leaves SERVICE SHARDS REPLICAS [work=MS] [slots=N] [connections=N] [relay=1] [snapshot=N]": it
// starts emulated leaves, which with relay=1 are reached only through a relay each.
func cmdLeaves(s *system, args []string) error {
	shards, _ := strconv.Atoi(args[1])
	replicas, _ := strconv.Atoi(args[2])
	o := parseOptions(args[3:])
	fleet := bench.Fleet{
		Service: samphirepass.Service(args[0]), Shards: shards, Replicas: replicas, Slots: intOption(o, "slots", 3),
		Connections: intOption(o, "connections", 30), ProcessingMs: samphirepass.Millis(intOption(o, "work", 2)),
	}
	w := bench.Workload{DataCentres: []samphirepass.DataCentre{"derby"}}
	snapshot := samphirepass.Snapshot(intOption(o, "snapshot", 1))
	for _, lo := range fleet.LeafOptions(w, snapshot, s.entryAPIs(), 1) {
		lo.AnnounceMs = 300
		if o["relay"] == "1" {
			if err := s.addRelay(&lo); err != nil {
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

// addRelay starts a relay for a leaf and makes the leaf announce the address of the relay.
func (s *system) addRelay(o *standin.Options) error {
	address, err := freeAddress("127.0.3.1")
	if err != nil {
		return err
	}
	relayAddress, err := freeAddress("127.0.3.2")
	if err != nil {
		return err
	}
	relay, err := standin.NewRelay(relayAddress, address)
	if err != nil {
		return err
	}
	s.relays[o.Leaf] = relay
	o.Address, o.Advertise = address, relayAddress
	return nil
}

// cmdFault implements "fault LEAF|SERVICE|all KIND...": it replaces the injected faults of the leaves; KIND none removes
// them. The prefix SERVICE-SHARD selects all replicas of a shard.
func cmdFault(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		f, err := parseFaults(args[1:])
		l.SetFaults(f)
		return err
	})
}

func parseFaults(kinds []string) (standin.Faults, error) {
	var f standin.Faults
	set := map[string]*bool{
		"partial": &f.PartialAnswers, "wrong-shard": &f.WrongShard, "wrong-snapshot": &f.WrongSnapshot,
		"wrong-request": &f.WrongRequest, "bad-digest": &f.BadDigest, "truncated": &f.Truncated, "drop": &f.DropAfterRead,
		"redirect": &f.Redirect, "silent": &f.Silent, "refuse-runs": &f.RefuseRuns, "none": new(bool),
	}
	for _, k := range kinds {
		if set[k] == nil {
			return f, fmt.Errorf("unknown fault %q", k)
		}
		*set[k] = true
	}
	return f, nil
}

// eachLeaf calls f for the leaf of that name, or else for each leaf whose name begins with name and "-", or for all leaves.
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
		return fmt.Errorf("no leaf matches %q", name)
	}
	return nil
}

// cmdLeaf implements "leaf NAME ACTION", where ACTION is one of
//
//	drain                          drains and announces that to all entries
//	announce-draining ENTRY        drains and announces that to one entry only
//	reset-drain-count              resets the count of requests received while draining
//	no-requests-while-draining     fails if that count is not 0
//	stop                           stops the leaf
//	silence-open                   silences the open connections through the leaf's relay
//	hold SNAPSHOT:SHARDS:SHARD,... replaces the holdings
func cmdLeaf(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		switch args[1] {
		case "drain":
			l.Drain(context.Background())
		case "announce-draining":
			return l.AnnounceDrainingTo(context.Background(), s.processes[args[2]].settings.API)
		case "no-requests-while-draining":
			if n := l.Counts().RequestsWhileDraining; n > 0 {
				return fmt.Errorf("leaf %s received %d requests after it announced that it is draining", l.Name(), n)
			}
		case "reset-drain-count":
			l.ResetDrainCount()
		case "stop":
			l.Stop()
		case "silence-open":
			s.relays[l.Name()].SilenceOpen()
		case "hold":
			l.SetHoldings(parseHoldings(args[2]))
		default:
			return fmt.Errorf("unknown leaf action %q", args[1])
		}
		return nil
	})
}

func parseHoldings(arg string) []samphirepass.Holding {
	var out []samphirepass.Holding
	for _, part := range strings.Split(arg, ",") {
		var h samphirepass.Holding
		if _, err := fmt.Sscanf(part, "%d:%d:%d", &h.Snapshot, &h.Shards, &h.Shard); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// cmdMaxConnections implements "max-connections LIMIT": it fails if any leaf ever had more than LIMIT open connections or
// closed one that exceeded its own limit.
func cmdMaxConnections(s *system, args []string) error {
	limit, _ := strconv.ParseInt(args[0], 10, 64)
	for _, l := range s.leaves {
		if c := l.Counts(); c.MaxConnections > limit || c.OverLimit > 0 {
			return fmt.Errorf("leaf %s had up to %d open connections and closed %d over its limit", l.Name(), c.MaxConnections, c.OverLimit)
		}
	}
	return nil
}
