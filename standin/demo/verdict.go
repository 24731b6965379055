package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

var errViolation = eris.New("a promise to callers was broken")

type flowResult struct {
	Name  string            `json:"name"`
	Final map[string]int    `json:"final"`
	Keys  map[string]string `json:"keys"`
	// Broken counts attempts without a complete answer, by proxy.
	Broken map[string]int `json:"broken"`
}

// verdict counts what must not happen.
type verdict struct {
	bookings    int
	duplicates  int // keys that ran more than once
	lost        int // bookings told to be done that did not run, and requests without an answer
	falseNotRun int // keys told not to have run that ran
	unknown     int // keys whose outcome stayed unknown, which is honest
	partial     int
	foreign     int
	cut         int   // requests cut by a planned stop
	lateWork    int64 // requests sent to a leaving endpoint after the allowed time
}

func (v verdict) broken() bool {
	return v.duplicates+v.lost+v.falseNotRun+v.partial+v.foreign+v.cut > 0 || v.lateWork > 0
}

func (v verdict) String() string {
	return fmt.Sprintf("bookings %d, duplicates %d, lost %d, false not-run %d, partial %d, foreign %d, "+
		"cut by the planned stop %d, sent to the leaving endpoint after %s %d, left unknown %d",
		v.bookings, v.duplicates, v.lost, v.falseNotRun, v.partial, v.foreign,
		v.cut, leavingTime, v.lateWork, v.unknown)
}

func judge(flows []flowResult, runs map[string]int) verdict {
	var v verdict
	for _, f := range flows {
		v.partial += f.Final["partial"]
		v.foreign += f.Final["foreign"]
		v.lost += f.Final["broken"]
		v.cut += f.Broken[plannedStop]
		for key, result := range f.Keys {
			v.bookings++
			v.judgeKey(result, runs[key])
		}
	}
	return v
}

func (v *verdict) judgeKey(result string, runs int) {
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

// check compares the answers that callers got with the runs that the backend
// servers counted.
func (d *demo) check(context.Context) error {
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
	v := judge(results.Flows, runs)
	if v.lateWork, err = d.drained.late(); err != nil {
		return err
	}
	fmt.Println("demo:", v)
	fmt.Println("demo: report in", filepath.Join(d.settings.out, "report.html"))
	if v.broken() {
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
	report, err := d.report(address)
	for key, n := range report.Runs {
		runs[key] += n
	}
	return err
}

// endpointReport is what an endpoint counted.
type endpointReport struct {
	Arrivals int64          `json:"arrivals"`
	Runs     map[string]int `json:"runs"`
}

func (d *demo) report(address string) (endpointReport, error) {
	var report endpointReport
	response, err := d.client.Get("http://" + address + "/control/runs")
	if err != nil {
		return report, eris.Wrap(err, "cannot ask an endpoint for its runs")
	}
	defer response.Body.Close()
	return report, eris.Wrap(json.NewDecoder(response.Body).Decode(&report), "cannot decode the runs of an endpoint")
}
