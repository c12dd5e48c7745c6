package gateway

import (
	"encoding/hex"

	"samphirepass"
	"samphirepass/leaf"
)

// checkQuarantine reports whether a request is sent to a single leaf at first, or refuses it because leaves crash when they run it.
func (d *Dispatcher) checkQuarantine(delivery leaf.Delivery) (probe bool, refusal *samphirepass.Refusal) {
	if d.opts.Quarantine == nil || d.opts.Quarantine.Empty() {
		return false, nil
	}
	verdict, retryAfter := d.opts.Quarantine.Verdict(delivery.Request.Fingerprint())
	if verdict == samphirepass.VerdictRefuse {
		return false, withRetryAfter(retryAfter, samphirepass.Refuse(samphirepass.CodeQuarantined, "leaves that ran the same request have crashed"))
	}
	return verdict == samphirepass.VerdictProbe, nil
}

// recordCrashes tells the quarantine whether leaves have crashed under a request or survived it. Leaves that crash under a request that
// others survive crash for another reason.
func (d *Dispatcher) recordCrashes(delivery leaf.Delivery, result leaf.DeliveryResult) {
	if d.opts.Quarantine == nil || (len(result.Crashes) == 0 && (!result.Survived || d.opts.Quarantine.Empty())) {
		return
	}
	f := delivery.Request.Fingerprint()
	if result.Survived {
		if d.opts.Quarantine.RecordSurvival(f) {
			d.opts.Log.RequestEvent("Suspicion cleared: a leaf has survived the request.", "request", delivery.Request.ID, "fingerprint", hex.EncodeToString(f[:]))
			d.reportSuspicion(samphirepass.Suspicion{Fingerprint: f})
		}
		return
	}
	reported := d.opts.Quarantine.RecordCrashes(f, result.Crashes)
	verdict, _ := d.opts.Quarantine.Verdict(f)
	d.opts.Log.RequestEvent("Leaves crashed under a request.", "request", delivery.Request.ID, "route", delivery.Route.Name, "fingerprint", hex.EncodeToString(f[:]),
		"leaves", len(result.Crashes), "leaf", result.Crashes[0].Leaf, "probe", delivery.Probe, "verdict", verdict)
	d.reportSuspicion(reported)
}

func (d *Dispatcher) reportSuspicion(s samphirepass.Suspicion) {
	if d.opts.OnSuspicion != nil {
		d.opts.OnSuspicion(s)
	}
}
