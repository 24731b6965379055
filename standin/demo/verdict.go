package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

var errViolation = eris.New("guarantee to callers violated")

type flowResult struct {
	Name  string            `json:"name"`
	Final map[string]int    `json:"final"`
	Keys  map[string]string `json:"keys"`
	// Broken counts attempts without a complete response, by proxy.
	Broken map[string]int `json:"broken"`
}

// verdict counts the bookings and the violations of guarantees.
type verdict struct {
	bookings     int
	duplicates   int   // keys executed more than once
	lost         int   // bookings reported as done but not executed, and requests without a response
	falseNotRun  int   // keys reported as not executed that were executed
	unknown      int   // keys whose final outcome is unknown; no violation, since the proxy reports it as unknown
	partial      int   // successful responses whose body is incomplete
	foreign      int   // responses to a different request
	cut          int   // requests aborted by the graceful shutdown of a proxy
	lateRequests int64 // requests sent to the draining endpoint after drainTimeout
}

func (v verdict) violated() bool {
	return v.duplicates+v.lost+v.falseNotRun+v.partial+v.foreign+v.cut > 0 || v.lateRequests > 0
}

func (v verdict) String() string {
	return fmt.Sprintf("bookings %d, duplicates %d, lost %d, false not-run %d, partial %d, foreign %d, "+
		"cut by the planned stop %d, sent to the leaving endpoint after %s %d, left unknown %d",
		v.bookings, v.duplicates, v.lost, v.falseNotRun, v.partial, v.foreign,
		v.cut, drainTimeout, v.lateRequests, v.unknown)
}

func evaluate(flows []flowResult, runs map[string]int) verdict {
	var v verdict
	for _, f := range flows {
		v.partial += f.Final["partial"]
		v.foreign += f.Final["foreign"]
		v.lost += f.Final["broken"]
		v.cut += f.Broken[stoppedProxy]
		for key, result := range f.Keys {
			v.bookings++
			v.addKey(result, runs[key])
		}
	}
	return v
}

func (v *verdict) addKey(result string, runs int) {
	if runs > 1 {
		v.duplicates++
	}
	switch {
	case result == "whole" && runs == 0:
		v.lost++
	case result == "not-run" && runs > 0:
		v.falseNotRun++
	case result == "unknown":
		v.unknown++
	}
}

// checkResults compares the outcomes that callers recorded with the executions that the
// backend servers counted.
func (d *demo) checkResults(context.Context) error {
	content, err := os.ReadFile(filepath.Join(d.settings.out, "results.json"))
	if err != nil {
		return eris.Wrap(err, "cannot read the results")
	}
	var results struct {
		Flows []flowResult `json:"flows"`
	}
	if err := json.Unmarshal(content, &results); err != nil {
		return eris.Wrap(err, "cannot decode the results")
	}
	runs, err := d.runs()
	if err != nil {
		return err
	}
	v := evaluate(results.Flows, runs)
	if v.lateRequests, err = d.drain.lateArrivals(); err != nil {
		return err
	}
	fmt.Println("demo:", v)
	fmt.Println("demo: report in", filepath.Join(d.settings.out, "report.html"))
	if v.violated() {
		return errViolation
	}
	return nil
}

func (d *demo) runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, addresses := range d.endpoints {
		for _, address := range addresses {
			if err := d.addRuns(runs, address); err != nil {
				return nil, err
			}
		}
	}
	return runs, nil
}

func (d *demo) addRuns(runs map[string]int, address string) error {
	report, err := d.fetchReport(address)
	for key, n := range report.Runs {
		runs[key] += n
	}
	return err
}

// endpointReport is the response of an endpoint to GET /control/runs.
type endpointReport struct {
	Arrivals int64          `json:"arrivals"`
	Runs     map[string]int `json:"runs"`
}

func (d *demo) fetchReport(address string) (endpointReport, error) {
	var report endpointReport
	response, err := d.client.Get("http://" + address + "/control/runs")
	if err != nil {
		return report, eris.Wrap(err, "cannot get the execution counts of an endpoint")
	}
	defer response.Body.Close()
	return report, eris.Wrap(json.NewDecoder(response.Body).Decode(&report), "cannot decode the execution counts of an endpoint")
}
