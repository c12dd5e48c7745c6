package samphirepass

import "context"

// Evacuations are the data centres whose leaves get no requests, by an operator's order.
type Evacuations struct {
	// Revision is the index in the replicated log of the last order; a lower one never replaces a higher one.
	Revision Revision
	// DataCentres is sorted.
	DataCentres []DataCentre
}

// EvacuationReport tells an operator what an order does not cover.
type EvacuationReport struct {
	// Uncovered are the services that have no leaf outside the evacuated data centres, sorted.
	Uncovered []Service
}

// EvacuationStore stores the operators' evacuations and is safe for concurrent use.
type EvacuationStore interface {
	// SetEvacuation evacuates a data centre or takes that back, and returns once the order is durable; its errors are refusals. A repeated
	// order has no further effect.
	SetEvacuation(ctx context.Context, dc DataCentre, evacuate bool) (EvacuationReport, error)
}
