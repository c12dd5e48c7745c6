package collector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/policy"
)

// connect opens the connections to the collectors that a request over all shards would use.
func (c *Client) connect() {
	var shards []samphirepass.Service
	if c.opts.Shards != nil {
		shards = c.opts.Shards()
	}
	offers := c.usableOffers(len(shards))
	c.connectTo(policy.SplitShards(c.shardDataCentres(shards), c.opts.DataCentre, c.offerDataCentres(offers)), offers)
}

// connectTo opens the connections to the collectors in the data centres of the parts, or in this entry's own while no shard is known.
func (c *Client) connectTo(parts []samphirepass.ShardPart, offers []directory.CollectorOffer) {
	for _, offer := range offers {
		if (len(parts) == 0 && offer.DataCentre == c.opts.DataCentre) || slices.ContainsFunc(parts, func(p samphirepass.ShardPart) bool { return p.DataCentre == offer.DataCentre }) {
			c.opts.Peers.Get(offer.Address).Preconnect()
		}
	}
}

// splitShards splits a request's shards by the data centres in which they are collected. If a data centre that suits best has no usable
// collector, the next best one takes its part.
func (c *Client) splitShards(dataCentres [][]samphirepass.DataCentre, offers []directory.CollectorOffer) []samphirepass.ShardPart {
	all := c.offerDataCentres(offers)
	var usableOffers []directory.CollectorOffer
	for _, dataCentre := range all {
		inDataCentre := slices.DeleteFunc(slices.Clone(offers), func(offer directory.CollectorOffer) bool { return offer.DataCentre != dataCentre })
		usableOffers = append(usableOffers, c.usableCollectors(inDataCentre)...)
	}
	usable := c.offerDataCentres(usableOffers)
	own := c.opts.DataCentre
	if samphirepass.PathLost(c.opts.Path) && !slices.Contains(usable, own) {
		// Nobody here collects the shards that have leaves here.
		own = ""
	}
	for range maxSplits {
		parts := policy.SplitShards(dataCentres, own, all)
		isUnusable := func(dataCentre samphirepass.DataCentre) bool {
			return dataCentre != own && !slices.Contains(usable, dataCentre) && slices.ContainsFunc(parts, func(p samphirepass.ShardPart) bool { return p.DataCentre == dataCentre })
		}
		if !slices.ContainsFunc(all, isUnusable) {
			return parts
		}
		// Later requests may use these data centres.
		c.connectTo(parts, offers)
		all = slices.DeleteFunc(all, isUnusable)
	}
	return policy.SplitShards(dataCentres, own, usable)
}

// offerSnapshot is what this entry knew of the collectors at one time.
type offerSnapshot struct {
	takenAt samphirepass.Millis
	// offers are ordered by a hash of the VM and their address, so that the entries spread over the collectors.
	offers []directory.CollectorOffer
	// own holds the collectors in this entry's own data centre, this entry among them if it collects.
	own []directory.CollectorOffer
	// inCharge holds the shards of which this entry is in charge in its data centre.
	inCharge map[samphirepass.Service]bool
	// dataCentres is the number of data centres with collectors.
	dataCentres int
}

// offerSnapshot returns the collectors as of offersTTLMs ago or later.
func (c *Client) offerSnapshot() *offerSnapshot {
	now := c.opts.Clock.Now()
	if s := c.snapshot.Load(); s != nil && now-s.takenAt < offersTTLMs {
		return s
	}
	s := &offerSnapshot{takenAt: now, offers: c.opts.Offers()}
	hash := func(offer directory.CollectorOffer) uint64 {
		return xxhash.Sum64String(string(c.opts.VM) + "/" + offer.Address)
	}
	slices.SortFunc(s.offers, func(a, b directory.CollectorOffer) int { return cmp.Compare(hash(a), hash(b)) })
	s.own = c.collectorsIn(c.opts.DataCentre, s.offers)
	s.inCharge = c.shardsInCharge(s.own)
	s.dataCentres = len(c.offerDataCentres(append(slices.Clone(s.own), s.offers...)))
	c.snapshot.Store(s)
	return s
}

// shardsInCharge returns the shards of all routes of which this entry is in charge among the collectors of its data centre.
func (c *Client) shardsInCharge(collectors []directory.CollectorOffer) map[samphirepass.Service]bool {
	own := slices.IndexFunc(collectors, func(offer directory.CollectorOffer) bool { return offer.Address == c.opts.Address })
	if own < 0 || c.opts.Shards == nil {
		return nil
	}
	shards := c.opts.Shards()
	inCharge := map[samphirepass.Service]bool{}
	for i, assigned := range c.assignShards(shards, c.opts.DataCentre, collectors) {
		if assigned == own {
			inCharge[shards[i]] = true
		}
	}
	return inCharge
}

// usableOffers returns the collectors that this entry may use for a request to n shards: those in other data centres, and those in its
// own if they are much larger than itself or several of them share the request.
func (c *Client) usableOffers(n int) []directory.CollectorOffer {
	s := c.offerSnapshot()
	if policy.SpreadsRequest(n, len(s.own)) {
		return s.offers
	}
	var usable []directory.CollectorOffer
	for _, offer := range s.offers {
		if offer.DataCentre != c.opts.DataCentre || offer.Capacity.SuitsOffloadFrom(c.opts.Capacity) {
			usable = append(usable, offer)
		}
	}
	return usable
}

// offerDataCentres returns the distinct data centres of the offers. Their order differs between VMs, so that the entries spread over
// them, and is the same for all requests, so that each entry keeps few connections.
func (c *Client) offerDataCentres(offers []directory.CollectorOffer) []samphirepass.DataCentre {
	var dataCentres []samphirepass.DataCentre
	for _, offer := range offers {
		if !slices.Contains(dataCentres, offer.DataCentre) {
			dataCentres = append(dataCentres, offer.DataCentre)
		}
	}
	hash := func(dataCentre samphirepass.DataCentre) uint64 {
		return xxhash.Sum64String(string(c.opts.VM) + "/" + string(dataCentre))
	}
	slices.SortFunc(dataCentres, func(a, b samphirepass.DataCentre) int { return cmp.Compare(hash(a), hash(b)) })
	return dataCentres
}

// shardDataCentres returns, for each shard, the data centres of its leaves. Data centres in which the shard is degraded are left
// out, unless it is degraded in all of them.
func (c *Client) shardDataCentres(shards []samphirepass.Service) [][]samphirepass.DataCentre {
	dataCentres := make([][]samphirepass.DataCentre, len(shards))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	for i, s := range shards {
		leaves := c.opts.Registry.Serving(s)
		for _, reg := range leaves {
			if c.degradedUntil[shardLocation{s, reg.DataCentre}] <= now {
				dataCentres[i] = append(dataCentres[i], reg.DataCentre)
			}
		}
		if len(dataCentres[i]) > 0 {
			continue
		}
		for _, reg := range leaves {
			dataCentres[i] = append(dataCentres[i], reg.DataCentre)
		}
	}
	return dataCentres
}

// updateDegraded records which shards of a part, given by index, are degraded in the data centre that collected it, and clears
// the others.
func (c *Client) updateDegraded(shards []samphirepass.Service, degraded []int, dataCentre samphirepass.DataCentre) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.opts.Clock.Now() + degradedTTLMs
	for i, s := range shards {
		key := shardLocation{s, dataCentre}
		if slices.Contains(degraded, i) {
			c.degradedUntil[key] = until
		} else {
			delete(c.degradedUntil, key)
		}
	}
}

// removeExpired deletes the shard locations that are no longer degraded.
func (c *Client) removeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	maps.DeleteFunc(c.degradedUntil, func(_ shardLocation, until samphirepass.Millis) bool { return until <= now })
}
