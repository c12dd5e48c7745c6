package metrics

import "github.com/prometheus/client_golang/prometheus"

// limitMetrics are the metrics of limits that all gateways share. None has a label for a limit, of which there may be 100,000.
type limitMetrics struct {
	decisions *prometheus.CounterVec
	asks      *prometheus.CounterVec
	issued    prometheus.Counter
	exhausted prometheus.Counter
}

// EnableLimits adds the metrics of limits that all gateways share.
func (m *Metrics) EnableLimits() {
	l := &limitMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirepass_limit_decisions_total", Help: "Requests counted against a shared limit, by result and by whether an issuer was asked.",
		}, []string{"result", "asked"}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirepass_limit_asks_total", Help: "Asks of this gateway for tokens, by whether the issuer answered.",
		}, []string{"result"}),
		issued: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphirepass_limit_tokens_issued_total", Help: "Tokens that this registrar issued.",
		}),
		exhausted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphirepass_limit_asks_refused_total", Help: "Asks of gateways for which this registrar had no token.",
		}),
	}
	m.registry.MustRegister(l.decisions, l.asks, l.issued, l.exhausted)
	m.limits = l
}

// LimitDecision records one request that was counted against a limit.
func (m *Metrics) LimitDecision(granted, asked bool) {
	if m == nil || m.limits == nil {
		return
	}
	result, by := "refused", "no"
	if granted {
		result = "granted"
	}
	if asked {
		by = "yes"
	}
	m.limits.decisions.WithLabelValues(result, by).Inc()
}

// LimitAsk records one ask of a gateway for tokens.
func (m *Metrics) LimitAsk(answered bool) {
	if m == nil || m.limits == nil {
		return
	}
	result := "unanswered"
	if answered {
		result = "answered"
	}
	m.limits.asks.WithLabelValues(result).Inc()
}

// TokensIssued records the answer of an issuer.
func (m *Metrics) TokensIssued(n int) {
	if m == nil || m.limits == nil {
		return
	}
	if n == 0 {
		m.limits.exhausted.Inc()
		return
	}
	m.limits.issued.Add(float64(n))
}
