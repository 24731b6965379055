package operator

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

// parallelReads bounds the document reads of one request.
const parallelReads = 16

// library reads service documents. Documents never change once written, so it
// keeps those that the last head named.
type library struct {
	store Store

	mu   sync.Mutex
	kept map[string]config.Service
}

func newLibrary(store Store) *library {
	return &library{store: store, kept: map[string]config.Service{}}
}

// base returns the whole configuration of a head.
func (l *library) base(ctx context.Context, h head) (config.Base, error) {
	base := config.Base{Revision: h.Revision, Services: map[string]config.Stored{}}
	fresh := map[string]config.Service{}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for name, ref := range h.Index {
		group.Go(func() error {
			service, err := l.service(ctx, ref)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			base.Services[name] = config.Stored{Document: ref.Name, Service: service}
			fresh[ref.Name] = service
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return base, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = fresh
	return base, nil
}

func (l *library) service(ctx context.Context, ref rollout.DocumentRef) (config.Service, error) {
	l.mu.Lock()
	service, ok := l.kept[ref.Name]
	l.mu.Unlock()
	if ok {
		return service, nil
	}
	object, err := l.store.Get(ctx, ref.Name)
	if err != nil {
		return service, err
	}
	service, err = config.DecodeStored(object.Value, ref.Digest)
	return service, eris.Wrap(err, ref.Name)
}

// read returns a document by name without a digest, for showing a difference.
func (l *library) read(ctx context.Context, document string) (config.Service, error) {
	object, err := l.store.Get(ctx, document)
	if err != nil {
		return config.Service{}, err
	}
	return config.DecodeStored(object.Value, config.Digest(object.Value))
}
