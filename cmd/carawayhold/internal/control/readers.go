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
	// watchWait bounds the silence of a watch, so that a connection that is
	// silent for good is noticed.
	watchWait = 2 * time.Second
	// roleCheck is how often a proxy that is not a reader checks whether it has
	// become one, and the pause after a failed read.
	roleCheck    = 500 * time.Millisecond
	vmListPeriod = time.Second
	proxyRole    = "entry"
)

// rendezvousStart spreads names evenly over count positions.
func rendezvousStart(name string, count int) int {
	if count == 0 {
		return 0
	}
	return int(xxh3.HashString(name) % uint64(count))
}

// failureLogPeriod is how often a read that keeps failing is logged.
const failureLogPeriod = time.Minute

// failureLog logs the first of several failures, one a minute, and the end.
type failureLog struct {
	logger  *zap.Logger
	what    string
	failing bool
	nextAt  time.Time
}

func (f *failureLog) observe(err error, now time.Time) {
	switch {
	case err == nil && f.failing:
		f.failing = false
		f.logger.Info("platform: " + f.what + " is read again")
	case err != nil && (!f.failing || !now.Before(f.nextAt)):
		f.failing = true
		f.nextAt = now.Add(failureLogPeriod)
		f.logger.Warn("platform: "+f.what+" cannot be read", zap.Error(err))
	}
}

// whileReader calls read again and again while this proxy is a reader.
func (c *Control) whileReader(ctx context.Context, what string, read func(context.Context) error) error {
	failures := failureLog{logger: c.logger, what: what}
	for ctx.Err() == nil {
		if !c.settled(time.Now()) || !c.members.selfAmong(c.members.readers()) {
			pause(ctx, roleCheck)
			continue
		}
		err := read(ctx)
		if ctx.Err() == nil {
			failures.observe(err, time.Now())
		}
		if err != nil {
			pause(ctx, roleCheck)
		}
	}
	return nil
}

// headWatchDuty watches the configuration head.
func (c *Control) headWatchDuty(ctx context.Context) error {
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
			if err := c.takeHead(ctx, o.Value, sentAt); err != nil {
				// The head is read again, because after has not moved on.
				return err
			}
			revision = c.config.revision()
		}
		after = listing.StoreVersion
		c.headConfirmed(sentAt, revision)
		return nil
	})
}

// ledgerWatchDuty watches the ejection ledgers.
func (c *Control) ledgerWatchDuty(ctx context.Context) error {
	return c.whileReader(ctx, "the list of ejections", func(ctx context.Context) error {
		sentAt := time.Now()
		listing, err := c.platform.Watch(ctx, ledgerPrefix, c.ledgers.version(), watchWait)
		if err != nil {
			return err
		}
		if c.takeReading(listingOf(listing, sentAt, time.Now())) {
			c.refreshAvailability()
			c.notifyClients()
		}
		return nil
	})
}

// vmListDuty reads the list of VMs, which gives leaving marks and the addresses
// of other proxies.
func (c *Control) vmListDuty(ctx context.Context) error {
	return c.whileReader(ctx, "the VM list", func(ctx context.Context) error {
		list, err := c.platform.VMs(ctx)
		if err != nil {
			return err
		}
		c.takeVMs(list)
		pause(ctx, vmListPeriod)
		return nil
	})
}

func (c *Control) takeVMs(list platform.VMList) {
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
	set := c.marks.listed(list)
	if len(set) == 0 {
		return
	}
	c.logger.Info("platform: VM list shows leaving VMs", zap.Int("new", len(set)))
	c.refreshAvailability()
	c.notifyClients()
}
