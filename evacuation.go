package samphirepass

import "context"

// Evacuations are the data centres whose leaves get no requests, by an operator's order.
type Evacuations struct {
	// Revision is the index in the replicated log of the last order; a lower one never replaces a higher one.
	Revision Revision
	// DataCentres is sorted.
	DataCentres []DataCentre
}

// FieldDataCentre is the field that refusals of an unknown data centre name.
const FieldDataCentre = "data-centre"

// EvacuationReport tells an operator what is evacuated and what that does not cover.
type EvacuationReport struct {
	// Evacuations are those in force with the order.
	Evacuations Evacuations
	// Uncovered are the services that have no leaf outside the evacuated data centres, sorted.
	Uncovered []Service
}

// EvacuationStore stores the operators' evacuations and is safe for concurrent use.
type EvacuationStore interface {
	// SetEvacuation evacuates a data centre or takes that back, and returns once the order is durable; its errors are refusals. A repeated
	// order has no further effect.
	SetEvacuation(ctx context.Context, dc DataCentre, evacuate bool) (EvacuationReport, error)
}
