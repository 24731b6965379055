package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const (
	revisionMetric = "carawayhold_config_revision"
	revisionPoll   = 10 * time.Millisecond
	// maxRolloutTime is the time within which every proxy must apply a change.
	maxRolloutTime = 5 * time.Second
)

// measureRollout confirms changes one after the other and measures the time from the
// acceptance of each until every proxy applies it.
func measureRollout(ctx context.Context, settings demoSettings, changes int) error {
	d, err := newDemo(settings)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, step := range []func(context.Context) error{d.startPlatform, d.startBackends, d.startProxies, d.confirmConfiguration} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	var elapsed []time.Duration
	for n := range changes {
		took, err := d.changeFloor(ctx, n, int64(n)+2)
		if err != nil {
			return err
		}
		elapsed = append(elapsed, took)
	}
	slices.Sort(elapsed)
	slowest := elapsed[len(elapsed)-1]
	fmt.Printf("demo: %d changes on %d proxies: in force everywhere after p50 %.0f ms, max %.0f ms\n",
		changes, settings.proxies, millis(elapsed[len(elapsed)/2]), millis(slowest))
	if slowest > maxRolloutTime {
		return eris.Errorf("the slowest change took longer than %s", maxRolloutTime)
	}
	return nil
}

func millis(length time.Duration) float64 { return float64(length) / float64(time.Millisecond) }

// changeFloor changes the ejection floor of one service and returns the time until
// all proxies apply the revision.
func (d *demo) changeFloor(ctx context.Context, n int, revision int64) (time.Duration, error) {
	spec := serviceSpecs[n%len(serviceSpecs)]
	service := spec.service(d.endpoints[spec.name])
	service.Floor -= 1 + n/len(serviceSpecs)%2
	content, err := json.Marshal(config.Document{Services: []config.Service{service}})
	if err != nil {
		return 0, eris.Wrap(err, "cannot encode a service")
	}
	intent := filepath.Join(d.settings.out, "change.json")
	if err := os.WriteFile(intent, content, 0o644); err != nil {
		return 0, eris.Wrap(err, "cannot write a service")
	}
	if err := d.planAndConfirm(ctx, intent); err != nil {
		return 0, err
	}
	accepted := time.Now()
	var group sync.WaitGroup
	for _, a := range d.addresses {
		group.Go(func() { d.waitForRevision(ctx, a, revision) })
	}
	group.Wait()
	return time.Since(accepted), ctx.Err()
}

// waitForRevision returns when the proxy applies the revision, or after readyTimeout.
func (d *demo) waitForRevision(ctx context.Context, a proxyAddresses, revision int64) {
	deadline := time.Now().Add(readyTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) && d.activeRevision(a) < revision {
		timer.Wait(ctx, revisionPoll)
	}
}

func (d *demo) activeRevision(a proxyAddresses) int64 {
	response, err := d.client.Get("http://" + a.Admin + "/metrics")
	if err != nil || response.StatusCode != http.StatusOK {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), revisionMetric+" ")
		if !found {
			continue
		}
		revision, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0
		}
		return revision
	}
	return 0
}
