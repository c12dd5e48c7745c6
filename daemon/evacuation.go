package daemon

import (
	"context"
	"fmt"
	"slices"

	"samphirepass"
)

// AppliedEvacuations returns the evacuations that this process has applied or got from a registrar that has, or nil while it may lack some.
func (r *Registrar) AppliedEvacuations() *samphirepass.Evacuations {
	if r.relay != nil {
		return r.relay.getEvacuations()
	}
	if m := r.member.Load(); m != nil {
		return m.AppliedEvacuations()
	}
	return nil
}

// SetEvacuation evacuates a data centre of the settings or revokes that, and returns once the order is durable on a majority.
func (r *Registrar) SetEvacuation(ctx context.Context, dc samphirepass.DataCentre, evacuate bool) (samphirepass.EvacuationReport, error) {
	if !slices.Contains(r.cfg.DataCentres, dc) {
		refusal := samphirepass.Refuse(samphirepass.CodeNotFound, "%q is no data centre of this deployment", dc)
		refusal.Field, refusal.Allowed = samphirepass.FieldDataCentre, fmt.Sprintf("%q", r.cfg.DataCentres)
		return samphirepass.EvacuationReport{}, refusal
	}
	r.updateClientMembers()
	e, err := r.client.SetEvacuation(ctx, dc, evacuate)
	if err != nil {
		return samphirepass.EvacuationReport{}, fmt.Errorf("set evacuation: %w", err)
	}
	return samphirepass.EvacuationReport{Evacuations: e, Uncovered: r.registry.Uncovered(e.DataCentres)}, nil
}

// applyEvacuations puts evacuations in force if they are newer than those in force.
func (g *Gateway) applyEvacuations(e samphirepass.Evacuations) {
	// New requests avoid the leaves before queued attempts are withdrawn, so that these are not moved to another leaf that is evacuated.
	if !g.registry.SetEvacuations(e) {
		return
	}
	g.pool.SetEvacuations(e)
	uncovered := g.registry.Uncovered(e.DataCentres)
	g.metrics.SetEvacuations(len(e.DataCentres), len(uncovered))
	g.log.For("gateway").Event("Evacuations in force.", "revision", e.Revision, "data-centres", e.DataCentres, "uncovered", uncovered)
}
