package config

import "time"

const (
	defaultBufferBytes        = 1 << 20
	defaultWarmUpMillis       = 10_000
	defaultRetentionMillis    = 24 * 3600 * 1000
	defaultOncePartitions     = 64
	defaultRetryBudgetPercent = 10
	// defaultConnections is the number of connections that the backend servers of both
	// present users accept from the whole fleet (docs/design.md, section 1.1).
	defaultConnections = 300
)

// WeightingOrDefault returns the weighting; WeightingBalanced by default.
func (s Service) WeightingOrDefault() Weighting {
	if s.Weighting == "" {
		return WeightingBalanced
	}
	return s.Weighting
}

// BufferLimit returns the size in bytes up to which a response is buffered until it is
// complete; 1 MiB by default.
func (s Service) BufferLimit() int64 { return orDefault(s.BufferBytes, defaultBufferBytes) }

// WarmUp returns the time after the start of an endpoint generation during which slow
// responses do not count as failures; 10 s by default.
func (s Service) WarmUp() time.Duration {
	return milliseconds(orDefault(s.WarmUpMillis, defaultWarmUpMillis))
}

// RetryBudget returns the limit of retries and hedges as a share of requests, from 0
// to 1; 0.1 by default.
func (s Service) RetryBudget() float64 {
	return float64(orDefault(int64(s.RetryBudgetPercent), defaultRetryBudgetPercent)) / 100
}

// Partitions returns the number of partitions of the at-most-once records; 64
// by default.
func (s Service) Partitions() int {
	return int(orDefault(int64(s.OncePartitions), defaultOncePartitions))
}

// Retention returns how long at-most-once records are kept; 24 h by default.
func (s Service) Retention() time.Duration {
	return milliseconds(orDefault(s.RetentionMillis, defaultRetentionMillis))
}

// Class returns the class with that name, and false if the service has none.
func (s Service) Class(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// AllowsTeam reports whether the team may call the service.
func (s Service) AllowsTeam(team string) bool {
	if len(s.Teams) == 0 {
		return true
	}
	for _, t := range s.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// ConnectionLimit returns the maximum number of connections that the endpoint accepts
// from the whole fleet; 300 by default.
func (e Endpoint) ConnectionLimit() int {
	return int(orDefault(int64(e.MaxConnections), defaultConnections))
}

// Deadline returns the maximum time from the arrival of a request to its response.
func (c Class) Deadline() time.Duration { return milliseconds(c.DeadlineMillis) }

// Repeatable reports whether a request of the class may be sent more than once.
func (c Class) Repeatable() bool { return c.Repeat == RepeatAllowed }

// WithDefaults returns a copy in which every unset optional field has its default. It
// copies the endpoints but shares routes, classes and teams with s.
func (s Service) WithDefaults() Service {
	s.Weighting = s.WeightingOrDefault()
	s.BufferBytes = s.BufferLimit()
	s.WarmUpMillis = s.WarmUp().Milliseconds()
	s.RetryBudgetPercent = int(orDefault(int64(s.RetryBudgetPercent), defaultRetryBudgetPercent))
	s.OncePartitions = s.Partitions()
	s.RetentionMillis = s.Retention().Milliseconds()
	s.Endpoints = append([]Endpoint{}, s.Endpoints...)
	for i, e := range s.Endpoints {
		s.Endpoints[i].MaxConnections = e.ConnectionLimit()
	}
	return s
}

func orDefault(value, fallback int64) int64 {
	if value == 0 {
		return fallback
	}
	return value
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
