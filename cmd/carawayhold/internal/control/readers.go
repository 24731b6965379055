package control

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	// watchWait bounds how long the platform holds a watch open without
	// changes, so that a stalled connection is detected.
	watchWait = 2 * time.Second
	// readerCheckPeriod is how often a proxy checks whether it has become a
	// reader. It is also the delay after a failed read.
	readerCheckPeriod = 500 * time.Millisecond
	vmListPeriod      = time.Second
	proxyRole         = "entry"
)

// startIndex maps a name to one of count positions, evenly over all names.
func startIndex(name string, count int) int {
	if count == 0 {
		return 0
	}
	return int(xxh3.HashString(name) % uint64(count))
}

// failureLogPeriod is how often a read that keeps failing is logged.
const failureLogPeriod = time.Minute

// failureLog logs the first of several consecutive failures, then one a
// minute, and the next success.
type failureLog struct {
	logger  *zap.Logger
	subject string
	failing bool
	nextAt  time.Time
}

func (f *failureLog) observe(err error, now time.Time) {
	switch {
	case err == nil && f.failing:
		f.failing = false
		f.logger.Info("platform: reading " + f.subject + " succeeds again")
	case err != nil && (!f.failing || !now.Before(f.nextAt)):
		f.failing = true
		f.nextAt = now.Add(failureLogPeriod)
		f.logger.Warn("platform: cannot read "+f.subject, zap.Error(err))
	}
}

// whileReader calls read repeatedly while this proxy is a reader.
func (c *Control) whileReader(ctx context.Context, subject string, read func(context.Context) error) error {
	failures := failureLog{logger: c.logger, subject: subject}
	for ctx.Err() == nil {
		if !c.discoveryDone(time.Now()) || !c.members.containsSelf(c.members.readers()) {
			pause(ctx, readerCheckPeriod)
			continue
		}
		err := read(ctx)
		if ctx.Err() == nil {
			failures.observe(err, time.Now())
		}
		if err != nil {
			pause(ctx, readerCheckPeriod)
		}
	}
	return nil
}

// headWatchLoop watches the head of the configuration.
func (c *Control) headWatchLoop(ctx context.Context) error {
	var after, revision int64
	return c.whileReader(ctx, "the configuration head", func(ctx context.Context) error {
		sentAt := time.Now()
		listing, err := c.platform.Watch(ctx, rollout.HeadName, after, watchWait)
		if err != nil {
			return err
		}
		for _, o := range listing.Objects {
			if o.Name != rollout.HeadName {
				continue
			}
			if err := c.applyHead(ctx, o.Value, sentAt); err != nil {
				// after is unchanged, so the next watch returns the head again.
				return err
			}
			revision = c.config.revision()
		}
		after = listing.StoreVersion
		c.headConfirmed(sentAt, revision)
		return nil
	})
}

// ledgerWatchLoop watches the ejection ledgers.
func (c *Control) ledgerWatchLoop(ctx context.Context) error {
	return c.whileReader(ctx, "the ejection ledgers", func(ctx context.Context) error {
		sentAt := time.Now()
		listing, err := c.platform.Watch(ctx, ledgerPrefix, c.ledgers.version(), watchWait)
		if err != nil {
			return err
		}
		if c.applyLedgerUpdate(newLedgerUpdate(listing, sentAt, time.Now())) {
			c.refreshAvailability()
			c.notifySyncClients()
		}
		return nil
	})
}

// vmListLoop reads the VM list, which yields draining marks and the addresses
// of other proxies.
func (c *Control) vmListLoop(ctx context.Context) error {
	return c.whileReader(ctx, "the VM list", func(ctx context.Context) error {
		list, err := c.platform.VMs(ctx)
		if err != nil {
			return err
		}
		c.applyVMList(list)
		pause(ctx, vmListPeriod)
		return nil
	})
}

func (c *Control) applyVMList(list platform.VMList) {
	var seeds []string
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.Role != proxyRole {
			continue
		}
		listed[vm.Address] = true
		if vm.State == platform.VMLive {
			seeds = append(seeds, vm.Address)
		}
	}
	if len(listed) > 0 {
		c.members.addSeeds(seeds)
		c.members.forgetDead(listed)
	}
	set := c.draining.observeVMList(list)
	if len(set) == 0 {
		return
	}
	c.logger.Info("platform: VM list shows leaving VMs", zap.Int("new", len(set)))
	c.refreshAvailability()
	c.notifySyncClients()
}
