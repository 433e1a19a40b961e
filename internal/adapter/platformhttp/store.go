// Package platformhttp is the objectstore.Store over HTTP.
package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/adapter/objecthttp"
	"rattanchute/internal/objectstore"
)

// Defaults of a Store.
const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultWatchWait is how long the service is asked to let a watch wait.
	DefaultWatchWait = 10 * time.Second
)

// Options say where the service is; zero durations take the defaults.
type Options struct {
	// Address is "ip:port".
	Address string
	// Token is sent as a bearer token; empty sends none.
	Token       string
	Timeout     time.Duration
	WatchWait   time.Duration
	Connections httpclient.Options
}

// Store talks to the platform's object service.
type Store struct {
	options  Options
	exchange *httpclient.Client
	caller   objecthttp.Requester
}

var _ objectstore.Store = (*Store)(nil)

// New returns a Store without connections.
func New(o Options) *Store {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	exchange := httpclient.New(o.Connections)
	caller := objecthttp.Requester{HTTP: exchange, Address: o.Address, StatusError: statusError}
	return &Store{options: o, exchange: exchange, caller: caller}
}

// CloseIdle closes the connections that carry no call now.
func (s *Store) CloseIdle() { s.exchange.CloseIdle() }

// listAnswer is the body of a list answer.
type listAnswer struct {
	Version uint64               `json:"version"`
	Objects []objectstore.Object `json:"objects"`
}

// watchAnswer is the body of a watch answer.
type watchAnswer struct {
	Version uint64              `json:"version"`
	Events  []objectstore.Event `json:"events"`
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	var o objectstore.Object
	c := call{method: fasthttp.MethodGet, path: objectPath(kind, name)}
	err := s.do(ctx, c, &o)
	return o, err
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error) {
	var a listAnswer
	c := call{method: fasthttp.MethodGet, path: kindPath(kind)}
	err := s.do(ctx, c, &a)
	return a.Objects, a.Version, err
}

// Create stores a new object.
func (s *Store) Create(ctx context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	var o objectstore.Object
	if len(value) > objectstore.MaxValueBytes {
		return o, objectstore.ErrTooLarge
	}
	c := call{method: fasthttp.MethodPost, path: objectPath(kind, name), value: value}
	err := s.do(ctx, c, &o)
	return o, err
}

// Update replaces an object's value if its version is still o.Version.
func (s *Store) Update(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	var stored objectstore.Object
	if len(o.Value) > objectstore.MaxValueBytes {
		return stored, objectstore.ErrTooLarge
	}
	c := call{method: fasthttp.MethodPut, path: objectPath(o.Kind, o.Name), value: o.Value, match: o.Version}
	err := s.do(ctx, c, &stored)
	return stored, err
}

// Delete removes an object if its version is still o.Version.
func (s *Store) Delete(ctx context.Context, o objectstore.Object) error {
	c := call{method: fasthttp.MethodDelete, path: objectPath(o.Kind, o.Name), match: o.Version}
	return s.do(ctx, c, nil)
}

// Watch waits for changes of a kind after a version.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after uint64) ([]objectstore.Event, uint64, error) {
	wait := s.options.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		// The answer needs some time of its own before the deadline.
		wait = min(wait, time.Until(deadline)*3/4)
	}
	query := url.Values{}
	query.Set("watch", strconv.FormatUint(after, 10))
	query.Set("timeout_ms", strconv.FormatInt(max(wait.Milliseconds(), 0), 10))
	c := call{method: fasthttp.MethodGet, path: kindPath(kind) + "?" + query.Encode(), wait: wait}
	var a watchAnswer
	err := s.do(ctx, c, &a)
	return a.Events, a.Version, err
}

func kindPath(kind objectstore.Kind) string {
	return "/objects/" + url.PathEscape(string(kind))
}

func objectPath(kind objectstore.Kind, name string) string {
	return kindPath(kind) + "/" + url.PathEscape(name)
}

// call is one request to the service.
type call struct {
	method string
	path   string
	value  json.RawMessage
	// match is the expected version of a conditional call; zero sends none.
	match uint64
	// wait is how long the service may hold the answer back.
	wait time.Duration
}

// do sends a call and decodes a successful answer into out.
func (s *Store) do(ctx context.Context, c call, out any) error {
	set := func(req *fasthttp.Request) error {
		s.setRequest(req, c)
		return nil
	}
	return s.caller.Do(ctx, s.options.Timeout+c.wait, set, out)
}

func (s *Store) setRequest(req *fasthttp.Request, c call) {
	req.Header.SetMethod(c.method)
	req.Header.SetRequestURI(c.path)
	if s.options.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.options.Token)
	}
	if c.match != 0 {
		req.Header.Set(fasthttp.HeaderIfMatch, strconv.FormatUint(c.match, 10))
	}
	if c.value != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.value)
	}
}

// ErrRejected is wrapped when the service refuses a call as wrong in itself, such as
// one with a bad token; nothing was written.
var ErrRejected = errors.New("platformhttp: call rejected")

// statusError maps a status to the port's errors.
func statusError(status int) error {
	switch status {
	case fasthttp.StatusTooManyRequests:
		return objectstore.ErrThrottled
	case fasthttp.StatusBadRequest, fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	}
	return objecthttp.StatusError(status)
}
