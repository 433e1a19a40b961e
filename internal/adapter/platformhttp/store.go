// Package platformhttp implements objectstore.Store over the HTTP API of the platform's
// object service.
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
	// DefaultTimeout bounds a call. A watch may take its wait time longer.
	DefaultTimeout = 5 * time.Second
	// DefaultWatchWait is how long the service is asked to hold a watch open.
	DefaultWatchWait = 10 * time.Second
)

// Options configure a Store. Zero durations take the defaults.
type Options struct {
	// Address is "ip:port".
	Address string
	// Token is sent as bearer token unless it is empty.
	Token       string
	Timeout     time.Duration
	WatchWait   time.Duration
	Connections httpclient.Options
	// OnMalformed is called with each entry of a list or watch that cannot be identified, at each read; nil to ignore them.
	OnMalformed func(kind objectstore.Kind, text []byte, err error)
}

// Store is a client of the platform's object service.
type Store struct {
	options    Options
	httpClient *httpclient.Client
	requester  objecthttp.Requester
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
	if o.OnMalformed == nil {
		o.OnMalformed = func(objectstore.Kind, []byte, error) {}
	}
	httpClient := httpclient.New(o.Connections)
	requester := objecthttp.Requester{HTTP: httpClient, Address: o.Address, StatusError: statusError}
	return &Store{options: o, httpClient: httpClient, requester: requester}
}

// CloseIdle closes the connections to the store that no call is using. Later calls open new ones.
func (s *Store) CloseIdle() { s.httpClient.CloseIdle() }

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	var o object
	c := call{method: fasthttp.MethodGet, path: objectPath(kind, name)}
	err := s.do(ctx, c, o.decode)
	return o.Object, err
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	var response listResponse
	c := call{method: fasthttp.MethodGet, path: kindPath(kind)}
	err := s.do(ctx, c, response.decode)
	return s.objects(kind, response.Objects), response.Version, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	var o object
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	c := call{method: fasthttp.MethodPost, path: objectPath(kind, name), value: value}
	err := s.do(ctx, c, o.decode)
	return o.Object, err
}

// Update implements objectstore.Store. It replaces the value if the stored version is
// still o.Version.
func (s *Store) Update(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	var stored object
	if len(o.Value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	c := call{method: fasthttp.MethodPut, path: objectPath(o.Kind, o.Name), value: o.Value, ifMatch: o.Version}
	err := s.do(ctx, c, stored.decode)
	return stored.Object, err
}

// UpdateStatus implements objectstore.Store.
func (s *Store) UpdateStatus(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	var stored object
	if len(o.Status) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	c := call{method: fasthttp.MethodPut, path: objectPath(o.Kind, o.Name) + "?part=status", value: o.Status, ifMatch: o.Version}
	err := s.do(ctx, c, stored.decode)
	return stored.Object, err
}

// Delete implements objectstore.Store. It removes the object if the stored version is
// still o.Version.
func (s *Store) Delete(ctx context.Context, o objectstore.Object) error {
	c := call{method: fasthttp.MethodDelete, path: objectPath(o.Kind, o.Name), ifMatch: o.Version}
	return s.do(ctx, c, nil)
}

// Watch implements objectstore.Store. It waits for changes after the given version, for at most
// Options.WatchWait or three quarters of the time to the deadline of ctx. Without a change by then,
// the service responds without events.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	watchWait := s.options.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		// Leave time for the response to arrive before the deadline.
		watchWait = min(watchWait, time.Until(deadline)*3/4)
	}
	query := url.Values{}
	query.Set("watch", strconv.FormatUint(uint64(after), 10))
	query.Set("timeout_ms", strconv.FormatInt(max(watchWait.Milliseconds(), 0), 10))
	c := call{method: fasthttp.MethodGet, path: kindPath(kind) + "?" + query.Encode(), watchWait: watchWait}
	var response watchResponse
	err := s.do(ctx, c, response.decode)
	return s.events(kind, response.Events), response.Version, err
}

func kindPath(kind objectstore.Kind) string {
	return "/objects/" + url.PathEscape(string(kind))
}

func objectPath(kind objectstore.Kind, name string) string {
	return kindPath(kind) + "/" + url.PathEscape(name)
}

// call describes a request to the service.
type call struct {
	method string
	path   string
	value  json.RawMessage
	// ifMatch is the expected version of a conditional call; zero makes it unconditional.
	ifMatch objectstore.Version
	// watchWait is how long the service may delay its response to a watch.
	watchWait time.Duration
}

// do sends a call and, if it succeeds, decodes the response unless decode is nil.
func (s *Store) do(ctx context.Context, c call, decode func(body []byte) error) error {
	set := func(req *fasthttp.Request) error {
		s.setRequest(req, c)
		return nil
	}
	return s.requester.Do(ctx, objecthttp.Call{Timeout: s.options.Timeout + c.watchWait, SetRequest: set, Decode: decode})
}

func (s *Store) setRequest(req *fasthttp.Request, c call) {
	req.Header.SetMethod(c.method)
	req.Header.SetRequestURI(c.path)
	if s.options.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.options.Token)
	}
	if c.ifMatch != 0 {
		req.Header.Set(fasthttp.HeaderIfMatch, strconv.FormatUint(uint64(c.ifMatch), 10))
	}
	if c.value != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.value)
	}
}

// ErrRejected is wrapped when the service rejects a call as invalid, such as one with a
// wrong token. Nothing was written.
var ErrRejected = errors.New("platformhttp: call rejected")

// statusError maps an HTTP status to ErrRejected or an error of package objectstore, nil for
// success.
func statusError(status int) error {
	switch status {
	case fasthttp.StatusTooManyRequests:
		return objectstore.ErrThrottled
	case fasthttp.StatusBadRequest, fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	}
	return objecthttp.StatusError(status)
}
