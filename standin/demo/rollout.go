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
	// inForceTarget is the time in which a change must be in force everywhere.
	inForceTarget = 5 * time.Second
)

// measureRollout confirms changes one after the other and measures the time
// from acceptance to force on every proxy.
func measureRollout(ctx context.Context, settings demoSettings, changes int) error {
	d, err := newDemo(settings)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, step := range []func(context.Context) error{d.startPlatform, d.startBackends, d.startProxies, d.confirm} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	var elapsed []time.Duration
	for n := range changes {
		one, err := d.changeFloor(ctx, n, int64(n)+2)
		if err != nil {
			return err
		}
		elapsed = append(elapsed, one)
	}
	slices.Sort(elapsed)
	slowest := elapsed[len(elapsed)-1]
	fmt.Printf("demo: %d changes on %d proxies: in force everywhere after p50 %.0f ms, max %.0f ms\n",
		changes, settings.proxies, millis(elapsed[len(elapsed)/2]), millis(slowest))
	if slowest > inForceTarget {
		return eris.Errorf("a change took longer than %s", inForceTarget)
	}
	return nil
}

func millis(length time.Duration) float64 { return float64(length) / float64(time.Millisecond) }

// changeFloor changes one service and returns the time until all proxies have it.
func (d *demo) changeFloor(ctx context.Context, n int, revision int64) (time.Duration, error) {
	shape := shapes[n%len(shapes)]
	described := shape.service(d.endpoints[shape.name])
	described.Floor -= 1 + n/len(shapes)%2
	content, err := json.Marshal(config.Document{Services: []config.Service{described}})
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
		group.Go(func() { d.waitRevision(ctx, a, revision) })
	}
	group.Wait()
	return time.Since(accepted), ctx.Err()
}

// waitRevision returns when a proxy has the revision in force.
func (d *demo) waitRevision(ctx context.Context, a proxyAddresses, revision int64) {
	deadline := time.Now().Add(readyTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) && d.revision(a) < revision {
		timer.Wait(ctx, revisionPoll)
	}
}

func (d *demo) revision(a proxyAddresses) int64 {
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
