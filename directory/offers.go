package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// entriesPerCollector is the number of entries of a data centre for each of its collectors, or for each part of a larger one's processor that
// is as large as the smallest entry's. With fewer collectors their processors limit the requests over many shards, and the loss of one fails
// requests; with more of them a request is sent in more messages.
const entriesPerCollector = 5

// deselectionDelayMs is how long an entry stays prepared for the requests of others after it was last selected to collect: others learn
// later that it is not selected any more.
const deselectionDelayMs samphirepass.Millis = followerTTLMs + 4000

// directOffers returns the offers of the collectors among the entries that follow this source. Those that reach no leaf are none.
func (s *Source) directOffers() []CollectorOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directOffersLocked()
}

func (s *Source) directOffersLocked() []CollectorOffer {
	now := s.opts.Clock.Now()
	entries := map[samphirepass.DataCentre]int{}
	var smallest samphirepass.Capacity
	var offers []CollectorOffer
	for _, f := range s.followers {
		if f.endpoint.Address != "" || now-f.lastSeen >= followerTTLMs {
			continue
		}
		entries[f.endpoint.DataCentre]++
		if smallest == (samphirepass.Capacity{}) || f.capacity.Cores < smallest.Cores {
			smallest = f.capacity
		}
		if f.collectAddress != "" && !f.noPath {
			offers = append(offers, CollectorOffer{Address: f.collectAddress, DataCentre: f.endpoint.DataCentre, Capacity: f.capacity})
		}
	}
	return selectCollectors(offers, entries, smallest)
}

// selectCollectors returns the offers of the entries that are much larger than the smallest one and, in each data centre, of so many others
// that all together have the cores of one for each entriesPerCollector entries. A single one that is no larger than the others could not
// relieve them. Sources with the same followers select the same ones.
func selectCollectors(offers []CollectorOffer, entries map[samphirepass.DataCentre]int, smallest samphirepass.Capacity) []CollectorOffer {
	slices.SortFunc(offers, func(a, b CollectorOffer) int {
		return cmp.Or(cmp.Compare(b.Capacity.Cores, a.Capacity.Cores), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	selectedCores := map[samphirepass.DataCentre]float64{}
	return slices.DeleteFunc(offers, func(offer CollectorOffer) bool {
		wanted := entries[offer.DataCentre] / entriesPerCollector
		enough := wanted < 2 || selectedCores[offer.DataCentre] >= float64(wanted)*smallest.Cores
		if enough && !offer.Capacity.SuitsOffloadFrom(smallest) {
			return true
		}
		selectedCores[offer.DataCentre] += offer.Capacity.Cores
		return false
	})
}

// allOffers returns the direct offers and those that other sources reported, one for each address, sorted by address.
func (s *Source) allOffers() []CollectorOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	offers := s.directOffersLocked()
	for address, reported := range s.reportedOffers {
		if now-reported.receivedAt >= followerTTLMs {
			delete(s.reportedOffers, address)
			continue
		}
		if !slices.ContainsFunc(offers, func(known CollectorOffer) bool { return known.Address == address }) {
			offers = append(offers, reported.CollectorOffer)
		}
	}
	slices.SortFunc(offers, func(a, b CollectorOffer) int { return cmp.Compare(a.Address, b.Address) })
	return offers
}

// offersVersion returns a hash of the addresses of the offers, which must be sorted; it is 0 if there are none.
func offersVersion(offers []CollectorOffer) uint64 {
	if len(offers) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, offer := range offers {
		_, _ = d.WriteString(offer.Address + "\x00")
	}
	return d.Sum64()
}

// AddReportedOffers records the offers that another source reported for its followers.
func (s *Source) AddReportedOffers(offers []CollectorOffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for _, offer := range offers {
		s.reportedOffers[offer.Address] = reportedOffer{CollectorOffer: offer, receivedAt: now}
	}
}

// Offers returns the offers of other entries that the sources sent, one for each address.
func (f *Follower) Offers() []CollectorOffer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var distinct []CollectorOffer
	for _, s := range f.sources {
		for _, offer := range s.offers {
			if offer.Address != f.opts.CollectAddress && !slices.ContainsFunc(distinct, func(known CollectorOffer) bool { return known.Address == offer.Address }) {
				distinct = append(distinct, offer)
			}
		}
	}
	return distinct
}

// CollectorCount returns the largest number of collectors that a source reported within countWindowMs. Without a report in that time
// it returns the last reported number, or 0 before the first reply.
func (f *Follower) CollectorCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.collectorCounts.largest(f.opts.Clock.Now())
}

// IsCollector reports whether this entry collects for others, as a source reported within deselectionDelayMs.
func (f *Follower) IsCollector() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everCollector && f.opts.Clock.Now()-f.collectorAt < deselectionDelayMs
}

// WithdrawOffer withdraws the offer of this entry to collect for smaller ones.
func (f *Follower) WithdrawOffer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.CollectAddress = ""
}
