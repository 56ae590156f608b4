// Package store is a client of the platform's key-value service, which it calls over
// HTTP: reads, compare-and-swap, and watches by long polling. Each key has a version
// that counts its writes from 1.
//
// A [Client] reads with [Client.Get] and [Client.Watch] and writes with
// [Client.CompareAndSwap]. Package core decides what is written. Nothing here retries
// a write whose outcome is unknown.
package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// VersionHeader is the HTTP header that carries the version of a key's value.
const VersionHeader = "X-Version"

var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("the key has no value")
	// ErrConflict means that the key's version is not the expected one.
	ErrConflict = errors.New("the key has another version than expected")
	// ErrRateLimited means that the service's rate limit was reached.
	ErrRateLimited = errors.New("the store limits the rate of requests")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("the outcome of the write is unknown")
)

// Value is the value of a key with its version.
type Value struct {
	Data    []byte
	Version uint64
}

// Client calls the service at one address. It is safe for use by many goroutines.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

const (
	requestTimeout = 2 * time.Second
	// watchTimeout is how long the service may hold a watch before it answers that
	// nothing has changed. A service that does not answer a node is noticed within
	// this time and requestTimeout, so that other nodes can watch in its place in time.
	watchTimeout     = 4 * time.Second
	maximumValueSize = 8 << 20
)

// NewClient returns a client for the service at an address, given as IP:port.
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{}}
}

func (client *Client) keyURL(key string) string {
	return client.baseURL + "/v1/keys/" + url.PathEscape(key)
}

// Get reads a key. The error is ErrNotFound if the key has no value.
func (client *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return client.read(ctx, client.keyURL(key), "read")
}

// Watch waits until the version of a key is higher than after and returns the key's
// value. The error is ErrNotFound if nothing has changed within watchTimeout.
func (client *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+requestTimeout)
	defer cancel()
	query := fmt.Sprintf("?after=%d&wait_ms=%d", after, watchTimeout.Milliseconds())
	return client.read(ctx, client.keyURL(key)+query, "watch")
}

// read sends a GET request and reads the value and its version from the response.
func (client *Client) read(ctx context.Context, target, operation string) (Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Value{}, client.wrap(err, operation)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return Value{}, client.wrap(err, operation)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return Value{}, client.wrap(err, operation)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumValueSize))
	if err != nil {
		return Value{}, client.wrap(err, operation)
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	return Value{Data: data, Version: version}, client.wrap(err, operation)
}

// CompareAndSwap writes a key if its version is the expected one; 0 means that the
// key must have no value. The error is ErrConflict if the version is another one, and
// ErrUnknownOutcome if the write may have taken effect.
func (client *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := client.keyURL(key) + "?expect=" + strconv.FormatUint(expected, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(data))
	if err != nil {
		return client.wrap(err, "write")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return client.wrap(errors.Mark(err, ErrUnknownOutcome), "write")
	}
	_ = response.Body.Close()
	return client.wrap(statusError(response.StatusCode), "write")
}

// statusError returns the error that an HTTP status stands for, or nil.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound, http.StatusNotModified:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	}
	return errors.Mark(errors.Newf("status %d", status), ErrUnknownOutcome)
}

// wrap adds the address of the store and the operation to an error.
func (client *Client) wrap(err error, operation string) error {
	return errors.Wrapf(err, "store %s: %s", client.baseURL, operation)
}
