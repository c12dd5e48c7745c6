package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// ownOffers returns the offers of the entries that follow this source and are much larger than the smallest of them;
// the others are of use to nobody.
func (s *Source) ownOffers() []Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownOffersLocked()
}

func (s *Source) ownOffersLocked() []Offer {
	now := s.o.Clock.Now()
	var least samphirepass.Capacity
	var out []Offer
	for _, f := range s.followers {
		if f.contact.Address != "" || now-f.seen >= followerFreshMs {
			continue
		}
		if least == (samphirepass.Capacity{}) || f.capacity.Cores < least.Cores {
			least = f.capacity
		}
		if f.collect != "" {
			out = append(out, Offer{Address: f.collect, DataCentre: f.contact.DataCentre, Capacity: f.capacity})
		}
	}
	return slices.DeleteFunc(out, func(o Offer) bool { return !o.Capacity.SuitsOffloadFrom(least) })
}

// offers returns the offers of all entries that are much larger than some, each once and in the order of addresses.
func (s *Source) offers() []Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	out := s.ownOffersLocked()
	for address, told := range s.told {
		if now-told.at >= followerFreshMs {
			delete(s.told, address)
			continue
		}
		if !slices.ContainsFunc(out, func(have Offer) bool { return have.Address == address }) {
			out = append(out, told.Offer)
		}
	}
	slices.SortFunc(out, func(a, b Offer) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// offersVersion returns a number that is the same for the same offers, 0 for none.
func offersVersion(offers []Offer) uint64 {
	if len(offers) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, o := range offers {
		_, _ = d.WriteString(o.Address + "\x00")
	}
	return d.Sum64()
}

// AddRemoteOffers takes in the offers of entries that follow another source.
func (s *Source) AddRemoteOffers(offers []Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	for _, o := range offers {
		s.told[o.Address] = toldOffer{Offer: o, at: now}
	}
}

// Offers returns the offers of other entries that the sources told of, each once.
func (f *Follower) Offers() []Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Offer
	for _, c := range f.contacts {
		for _, o := range c.offers {
			if o.Address != f.o.CollectAddress && !slices.ContainsFunc(out, func(have Offer) bool { return have.Address == o.Address }) {
				out = append(out, o)
			}
		}
	}
	return out
}

// CollectorCount returns the largest number of entries that collect for smaller ones that a source has told within countMs.
func (f *Follower) CollectorCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.collectors.largest(f.o.Clock.Now())
}

// IsCollector reports whether smaller entries pass requests to this one.
func (f *Follower) IsCollector() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.collecting
}

// WithdrawOffer takes back the offer to collect for smaller entries.
func (f *Follower) WithdrawOffer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.o.CollectAddress = ""
}
