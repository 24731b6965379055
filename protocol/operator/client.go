package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

const (
	// defaultCallTimeout is longer than the server's confirmTimeout.
	defaultCallTimeout = 10 * time.Second
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// confirmRounds is how many times all servers are tried while the result of a
	// confirmation is unknown.
	confirmRounds = 3
	roundPause    = time.Second
)

// Client calls the operator API of the first proxy that responds. It is safe for
// concurrent use.
type Client struct {
	servers     []string
	callTimeout time.Duration
	clock       Clock
	http        *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithCallTimeout sets the timeout of a call to one server, after which the next
// server is tried.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout = timeout }
}

// WithTransport sets the HTTP transport. The default is http.DefaultTransport.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http.Transport = transport }
}

// WithClock sets the clock for the waits between repeated confirmations.
func WithClock(clock Clock) ClientOption {
	return func(c *Client) { c.clock = clock }
}

// NewClient returns a client for the operator addresses of one or more proxies,
// for example "http://127.0.0.1:8081". The scheme may be left out.
func NewClient(servers []string, options ...ClientOption) (*Client, error) {
	c := &Client{callTimeout: defaultCallTimeout, clock: SystemClock{}, http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		parsed, err := url.Parse(s)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, invalid("server", fmt.Sprintf("%q is not the address of a proxy", s),
				"an address such as http://127.0.0.1:8081")
		}
		c.servers = append(c.servers, strings.TrimRight(s, "/"))
	}
	if len(c.servers) == 0 {
		return nil, invalid("server", "no server is given", "the operator address of at least one proxy")
	}
	return c, nil
}

// Servers returns the addresses in the order in which they are tried.
func (c *Client) Servers() []string { return append([]string{}, c.servers...) }

// Plan computes the plan of a document in JSON, which may contain comments and
// trailing commas.
func (c *Client) Plan(ctx context.Context, document []byte) (config.Plan, error) {
	var plan config.Plan
	err := c.call(ctx, request{method: http.MethodPost, path: "/v1/plans", contentType: contentHuJSON, body: document}, &plan)
	return plan, err
}

// Confirm applies a plan. If a response is lost, it sends the same confirmation to
// the next server. The error is ErrUnknown if the change may have been applied, and
// ErrUnavailable if this call did not apply it.
func (c *Client) Confirm(ctx context.Context, confirmation Confirmation) (ConfirmationResult, error) {
	var confirmed ConfirmationResult
	body, err := json.Marshal(confirmation)
	if err != nil {
		return confirmed, eris.Wrap(err, "operator: cannot encode the confirmation")
	}
	r := request{
		method: http.MethodPost, path: "/v1/confirmations", contentType: contentJSON, body: body, mutates: true,
	}
	mayApply := false
	for round := 1; ; round++ {
		err = c.call(ctx, r, &confirmed)
		// A refusal is final even after another proxy's response was lost: a server
		// refuses only if the operation is not in the head and can no longer be added.
		if !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnavailable) {
			return confirmed, err
		}
		mayApply = mayApply || errors.Is(err, ErrUnknown)
		if !mayApply {
			return confirmed, err
		}
		if round == confirmRounds || c.clock.Sleep(ctx, roundPause) != nil {
			return confirmed, &Problem{
				Code:    CodeUnknown,
				Message: "no proxy could say whether the change was applied; send the same confirmation again: " + err.Error(),
			}
		}
	}
}

// Status returns the state of the first proxy that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

// Services lists the services at the head revision.
func (c *Client) Services(ctx context.Context) (ServiceList, error) {
	var list ServiceList
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/services"}, &list)
	return list, err
}

// Service returns the description of a service in the current head.
func (c *Client) Service(ctx context.Context, name string) (config.Service, error) {
	var service config.Service
	err := c.call(ctx, request{method: http.MethodGet, path: servicePath(name, "")}, &service)
	return service, err
}

// Endpoints returns the endpoints of a service as the proxy that responds sees them.
func (c *Client) Endpoints(ctx context.Context, service string) (ServiceEndpoints, error) {
	var endpoints ServiceEndpoints
	err := c.call(ctx, request{method: http.MethodGet, path: servicePath(service, "/endpoints")}, &endpoints)
	return endpoints, err
}

// Audit lists accepted changes, newest first. It lists only the changes of service
// unless that is empty, and only revisions below before unless that is 0. A limit of
// 0 selects the server's default page size.
func (c *Client) Audit(ctx context.Context, service string, before int64, limit int) (AuditPage, error) {
	var page AuditPage
	query := pageQuery(before, limit)
	if service != "" {
		query.Set("service", service)
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/audit?" + query.Encode()}, &page)
	return page, err
}

// Ejections lists the ejections of a service with their evidence, newest first. The
// cursor before is 0 for the first page and the Before of the previous page
// otherwise. A limit of 0 selects the server's default page size.
func (c *Client) Ejections(ctx context.Context, service string, before int64, limit int) (EjectionPage, error) {
	var page EjectionPage
	path := servicePath(service, "/ejections?"+pageQuery(before, limit).Encode())
	err := c.call(ctx, request{method: http.MethodGet, path: path}, &page)
	return page, err
}

func servicePath(service, rest string) string {
	return "/v1/services/" + url.PathEscape(service) + rest
}

func pageQuery(before int64, limit int) url.Values {
	query := url.Values{}
	if before > 0 {
		query.Set("before", strconv.FormatInt(before, 10))
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return query
}

type request struct {
	method, path, contentType string
	body                      []byte
	// mutates is set if the request can change the configuration.
	mutates bool
}

// call tries the servers in order until one returns a final result.
func (c *Client) call(ctx context.Context, r request, result any) error {
	var failures []string
	resultUnknown := false
	for _, server := range c.servers {
		err := c.callServer(ctx, server, r, result)
		if err == nil || isFinal(err) {
			return err
		}
		resultUnknown = resultUnknown || errors.Is(err, ErrUnknown)
		failures = append(failures, server+": "+err.Error())
	}
	problem := &Problem{Code: CodeUnavailable, Message: strings.Join(failures, "; ")}
	if resultUnknown {
		problem.Code = CodeUnknown
	}
	return problem
}

// isFinal reports whether every proxy would return this error.
func isFinal(err error) bool {
	return errors.Is(err, ErrInvalid) || errors.Is(err, ErrStale) || errors.Is(err, ErrNotFound)
}

func (c *Client) callServer(ctx context.Context, server string, r request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return eris.Wrap(err, "operator: cannot build the request")
	}
	if r.contentType != "" {
		httpRequest.Header.Set("Content-Type", r.contentType)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return r.noResponseProblem(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return r.noResponseProblem(err)
	}
	if err := rfc9112.CheckNames(response.Header); err != nil {
		return r.noResponseProblem(err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(content, result); err != nil {
			return r.noResponseProblem(err)
		}
		return nil
	}
	problem := &Problem{}
	if json.Unmarshal(content, problem) == nil && codeMappings[problem.Code].status == response.StatusCode {
		return problem
	}
	err = fmt.Errorf("status %d without a problem description; is this the operator address of a proxy?", response.StatusCode)
	if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusMethodNotAllowed {
		// The response came from another program or from an intermediary that did not
		// forward the request, so nothing was applied.
		return &Problem{Code: CodeUnavailable, Message: err.Error()}
	}
	return r.noResponseProblem(err)
}

// noResponseProblem converts the error of a request without a usable response. The
// result of a mutating request is unknown unless the connection failed, so that the
// request was never sent.
func (r request) noResponseProblem(err error) error {
	var operation *net.OpError
	neverSent := errors.As(err, &operation) && operation.Op == "dial"
	if !r.mutates || neverSent {
		return &Problem{Code: CodeUnavailable, Message: err.Error()}
	}
	return &Problem{Code: CodeUnknown, Message: err.Error()}
}
