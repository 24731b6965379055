package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// register adds the gauges of the control loops to a set. A violation count
// other than zero indicates a bug.
func (c *Control) register(set *metrics.Set) {
	gauges := map[string]func() float64{
		"carawayhold_members_live":               func() float64 { return float64(c.members.liveCount()) },
		"carawayhold_config_revision":            func() float64 { return float64(c.config.revision()) },
		"carawayhold_config_known_revision":      func() float64 { return float64(c.config.known()) },
		"carawayhold_config_violations":          func() float64 { return float64(c.config.holder.Violations()) },
		"carawayhold_config_confirmed_seconds":   c.confirmedSeconds,
		"carawayhold_ejection_floor_violations":  func() float64 { return float64(c.ledgers.violations()) },
		"carawayhold_endpoint_leaving_marks":     func() float64 { return float64(len(c.draining.all())) },
		"carawayhold_state_sync_proxies":         func() float64 { return float64(len(c.syncClients.active(time.Now()))) },
		"carawayhold_ejection_write_queue_items": func() float64 { return float64(len(c.ledgerWork)) },
	}
	for name, read := range gauges {
		set.NewGauge(name, read)
	}
}

// confirmedSeconds returns the age of the platform's last confirmation, or -1
// if there was none.
func (c *Control) confirmedSeconds() float64 {
	age, ok := c.config.confirmedAge(time.Now())
	if !ok {
		return -1
	}
	return age.Seconds()
}
