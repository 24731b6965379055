package main

import (
	"fmt"
	"math"
	"strings"
)

// sample is one measured value at one size.
type sample struct {
	size  float64
	value float64
}

// line is a least squares fit of samples.
type line struct {
	slope     float64
	intercept float64
	// residual is the largest distance of a sample from the line, relative to
	// the largest value.
	residual float64
}

func fit(samples []sample) line {
	n := float64(len(samples))
	var sumX, sumY, sumXX, sumXY, largest float64
	for _, s := range samples {
		sumX += s.size
		sumY += s.value
		sumXX += s.size * s.size
		sumXY += s.size * s.value
		largest = math.Max(largest, math.Abs(s.value))
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	l := line{slope: slope, intercept: (sumY - slope*sumX) / n}
	for _, s := range samples {
		l.residual = math.Max(l.residual, math.Abs(l.at(s.size)-s.value)/largest)
	}
	return l
}

// at returns the value of the line at a size.
func (l line) at(size float64) float64 { return l.intercept + l.slope*size }

// slopeRow is one measured slope with its samples.
type slopeRow struct {
	name    string
	unit    string
	samples []sample
	target  float64 // the size to design for
}

func (r slopeRow) markdown() string {
	l := fit(r.samples)
	var sizes []string
	for _, s := range r.samples {
		sizes = append(sizes, fmt.Sprintf("%s at %s", formatNumber(s.value), formatNumber(s.size)))
	}
	return fmt.Sprintf("| %s | %s | %s %s | %.0f%% | %s %s |", r.name, strings.Join(sizes, ", "),
		formatNumber(l.slope), r.unit, 100*l.residual, formatNumber(l.at(r.target)), unitOf(r.unit))
}

// unitOf returns the unit of the value from the unit of its slope.
func unitOf(slopeUnit string) string {
	unit, _, _ := strings.Cut(slopeUnit, "/")
	return unit
}

func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 1e6:
		return fmt.Sprintf("%.3gM", value/1e6)
	case magnitude >= 1e4:
		return fmt.Sprintf("%.3gk", value/1e3)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}
