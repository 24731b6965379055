package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

const (
	// defaultCallTimeout is far above the few milliseconds that a call takes on a
	// healthy platform.
	defaultCallTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response body. A listing contains several
	// values of up to a megabyte each.
	maxResponseBytes = 64 << 20
)

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base        string
	callTimeout time.Duration
	http        *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithCallTimeout sets the time after which a call fails with ErrUnavailable. A watch
// has this time in addition to its wait.
func WithCallTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.callTimeout = timeout }
}

// WithTransport sets the HTTP transport. The default is http.DefaultTransport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// NewClient returns a client for the API at base, for example "http://127.0.0.1:7000".
func NewClient(base string, options ...Option) *Client {
	c := &Client{
		base:        strings.TrimRight(base, "/"),
		callTimeout: defaultCallTimeout,
		http:        &http.Client{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get returns the object of that name. The error is ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	var object Object
	err := c.call(ctx, c.callTimeout, http.MethodGet, "/objects/"+name, nil, &object)
	return object, err
}

// Put writes value if the object's version equals expect, where 0 means that it must
// not exist, and returns the new version. ErrConflict means that nothing was written.
// After ErrUnavailable the write may have taken effect.
func (c *Client) Put(ctx context.Context, name string, expect int64, value []byte) (int64, error) {
	var written Object
	path := "/objects/" + name + "?expect=" + strconv.FormatInt(expect, 10)
	err := c.call(ctx, c.callTimeout, http.MethodPut, path, value, &written)
	return written.Version, err
}

// List returns the objects whose names start with prefix and that changed after the
// store version after.
func (c *Client) List(ctx context.Context, prefix string, after int64) (Listing, error) {
	var listing Listing
	err := c.call(ctx, c.callTimeout, http.MethodGet, "/objects?"+changesQuery(prefix, after).Encode(), nil, &listing)
	return listing, err
}

// Watch is like List, but waits up to wait for a change if there is none yet. Without a
// response within wait plus the call timeout, it fails with ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error) {
	var listing Listing
	query := changesQuery(prefix, after)
	query.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	err := c.call(ctx, wait+c.callTimeout, http.MethodGet, "/watch?"+query.Encode(), nil, &listing)
	return listing, err
}

// VMs returns the platform's list of live and leaving VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	var list VMList
	err := c.call(ctx, c.callTimeout, http.MethodGet, "/vms", nil, &list)
	return list, err
}

func changesQuery(prefix string, after int64) url.Values {
	return url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
}

func (c *Client) call(
	ctx context.Context, timeout time.Duration, method, path string, body []byte, result any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "platform: cannot build %s %s", method, path)
	}
	if method == http.MethodPut {
		// Prevents the transport from sending a write again: if the first one took
		// effect, the second would report a conflict.
		request.GetBody = nil
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	if err := rfc9112.CheckNames(response.Header); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	if err := statusError(response.StatusCode, method, path); err != nil {
		return err
	}
	if err := json.Unmarshal(content, result); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: bad answer: %v", method, path, err)
	}
	return nil
}

func statusError(status int, method, path string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "%s %s", method, path)
	case http.StatusConflict:
		return eris.Wrapf(ErrConflict, "%s %s", method, path)
	default:
		return eris.Wrapf(ErrUnavailable, "%s %s: status %d", method, path, status)
	}
}
