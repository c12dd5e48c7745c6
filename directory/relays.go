package directory

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

const (
	kindRelays = "relays"
	// maxRelays is the number of entries that a source names for the requests of an entry without a path to leaves.
	maxRelays = 8
	// relaysTimeoutMs is the time within which a source must name them.
	relaysTimeoutMs samphirepass.Millis = 400
)

// relaysRequest asks a source for entries that reach leaves.
type relaysRequest struct {
	VM samphirepass.VM
}

type relaysReply struct {
	// Relays are at most maxRelays entries, different ones for different VMs. The address of an offer is that of the entry.
	Relays []CollectorOffer
}

// listRelays names some of the entries that follow this source and reach leaves.
func (s *Source) listRelays(_ context.Context, req relaysRequest) (relaysReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	var relays []CollectorOffer
	for key, f := range s.followers {
		if f.endpoint.Address != "" || f.collectAddress == "" || f.noPath || key.vm == req.VM || now-f.lastSeen >= followerTTLMs {
			continue
		}
		relays = append(relays, CollectorOffer{Address: f.collectAddress, DataCentre: f.endpoint.DataCentre, Capacity: f.capacity})
	}
	hash := func(offer CollectorOffer) uint64 { return xxhash.Sum64String(string(req.VM) + "/" + offer.Address) }
	slices.SortFunc(relays, func(a, b CollectorOffer) int { return cmp.Compare(hash(a), hash(b)) })
	return relaysReply{Relays: relays[:min(len(relays), maxRelays)]}, nil
}

// Relays asks the sources that this entry follows, and one in each other data centre, for entries that reach leaves and returns those that were named, each once. It fails if no
// source answers.
func (f *Follower) Relays(ctx context.Context) ([]CollectorOffer, error) {
	ctx, cancel := context.WithTimeout(ctx, relaysTimeoutMs.Duration())
	defer cancel()
	sources := f.sourcesOfRelays()
	replies := make([]relaysReply, len(sources))
	errs := make([]error, len(sources))
	var wg sync.WaitGroup
	for i, address := range sources {
		wg.Go(func() {
			errs[i] = f.opts.Peers.Get(address).Call(ctx, kindRelays, relaysRequest{VM: f.opts.VM}, &replies[i])
		})
	}
	wg.Wait()
	var relays []CollectorOffer
	for _, reply := range replies {
		for _, offer := range reply.Relays {
			if !slices.ContainsFunc(relays, func(known CollectorOffer) bool { return known.Address == offer.Address }) {
				relays = append(relays, offer)
			}
		}
	}
	if len(relays) == 0 {
		for i, err := range errs {
			if err != nil {
				return nil, fmt.Errorf("ask source %s for relays: %w", sources[i], err)
			}
		}
	}
	return relays, nil
}

// sourcesOfRelays returns the sources that are followed and a random one in each other data centre, if there is any that has not just failed.
func (f *Follower) sourcesOfRelays() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	var chosen []string
	followedIn := map[samphirepass.DataCentre]bool{}
	for address, s := range f.sources {
		if s.followed {
			chosen = append(chosen, address)
			followedIn[s.dataCentre] = true
		}
	}
	inDataCentre := map[samphirepass.DataCentre][]string{}
	for address, s := range f.sources {
		if !followedIn[s.dataCentre] && now-s.failedAt >= sourceCooldownMs {
			inDataCentre[s.dataCentre] = append(inDataCentre[s.dataCentre], address)
		}
	}
	for _, addresses := range inDataCentre {
		chosen = append(chosen, addresses[rand.IntN(len(addresses))])
	}
	return chosen
}
