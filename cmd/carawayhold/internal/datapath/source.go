package datapath

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// Source yields the configuration in force. Run calls apply with each newer
// revision until ctx ends.
type Source interface {
	Run(ctx context.Context, apply func(revision int64, services []config.Service)) error
}

// pollInterval is the polling interval of section 4.6.
const pollInterval = 5 * time.Second

// head is the part of config/head that names the documents.
type head struct {
	Revision int64                    `json:"revision"`
	Services map[string]headReference `json:"services"`
}

type headReference struct {
	Document string `json:"document"`
}

// PlatformSource reads the configuration objects of the platform directly. It
// applies only a revision that is higher than the one it holds.
type PlatformSource struct {
	client   *platform.Client
	logger   *zap.Logger
	revision int64
}

// NewPlatformSource returns a source that polls the platform.
func NewPlatformSource(client *platform.Client, logger *zap.Logger) *PlatformSource {
	return &PlatformSource{client: client, logger: logger}
}

// Run polls config/head until ctx ends.
func (s *PlatformSource) Run(ctx context.Context, apply func(int64, []config.Service)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := s.poll(ctx, apply); err != nil && ctx.Err() == nil {
			s.logger.Warn("platform: cannot read the configuration", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *PlatformSource) poll(ctx context.Context, apply func(int64, []config.Service)) error {
	var h head
	if err := s.read(ctx, "config/head", &h); err != nil {
		return err
	}
	if h.Revision <= s.revision {
		return nil
	}
	services := make([]config.Service, 0, len(h.Services))
	for _, reference := range h.Services {
		var service config.Service
		if err := s.read(ctx, reference.Document, &service); err != nil {
			return err
		}
		services = append(services, service)
	}
	apply(h.Revision, services)
	s.revision = h.Revision
	return nil
}

func (s *PlatformSource) read(ctx context.Context, name string, into any) error {
	object, err := s.client.Get(ctx, name)
	if err != nil {
		return err
	}
	return json.Unmarshal(object.Value, into)
}
