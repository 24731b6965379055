package operator

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

// maxParallelReads limits the concurrent document reads of one request.
const maxParallelReads = 16

// documentCache loads service documents and caches those of the last head that was
// loaded. Cached documents cannot become stale, because a document never changes
// once written.
type documentCache struct {
	store Store

	mu       sync.Mutex
	services map[string]config.Service
}

func newDocumentCache(store Store) *documentCache {
	return &documentCache{store: store, services: map[string]config.Service{}}
}

// loadBase loads the complete configuration of a head.
func (c *documentCache) loadBase(ctx context.Context, h head) (config.BaseConfiguration, error) {
	base := config.BaseConfiguration{Revision: h.Revision, Services: map[string]config.StoredService{}}
	loaded := map[string]config.Service{}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for name, ref := range h.Index {
		group.Go(func() error {
			service, err := c.load(ctx, ref)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			base.Services[name] = config.StoredService{Document: ref.Name, Service: service}
			loaded[ref.Name] = service
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return base, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = loaded
	return base, nil
}

// load returns a document from the cache or the store. It does not add to the cache.
func (c *documentCache) load(ctx context.Context, ref rollout.DocumentRef) (config.Service, error) {
	c.mu.Lock()
	service, ok := c.services[ref.Name]
	c.mu.Unlock()
	if ok {
		return service, nil
	}
	object, err := c.store.Get(ctx, ref.Name)
	if err != nil {
		return service, err
	}
	service, err = config.DecodeStored(object.Value, ref.Digest)
	return service, eris.Wrap(err, ref.Name)
}

// loadUnverified loads a document whose digest is not known, to compare or show it.
func (c *documentCache) loadUnverified(ctx context.Context, document string) (config.Service, error) {
	object, err := c.store.Get(ctx, document)
	if err != nil {
		return config.Service{}, err
	}
	return config.DecodeStored(object.Value, config.Digest(object.Value))
}
