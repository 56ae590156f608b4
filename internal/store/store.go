// Package store speaks to the platform's key-value service over HTTP: reads,
// compare-and-swap, and watches by long poll. Each key has a version that
// counts its writes from 1. Package core decides what is written; nothing here
// retries a write whose fate is unknown.
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

// VersionHeader carries the version of a key's value.
const VersionHeader = "X-Version"

var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("the key has no value")
	// ErrConflict: the key's version is not the expected one.
	ErrConflict = errors.New("the key was written by someone else")
	// ErrRateLimited: the service's rate limit was reached.
	ErrRateLimited = errors.New("the store limits the rate of requests")
	// ErrUnknownOutcome: the write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("the fate of the write is unknown")
)

// Value is a key's value and version.
type Value struct {
	Data    []byte
	Version uint64
}

// Client reaches the service at one address. It is safe for use by many
// goroutines.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

const (
	requestTimeout   = 2 * time.Second
	watchTimeout     = 60 * time.Second
	maximumValueSize = 8 << 20
)

// NewClient makes a client for an IP:port.
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{}}
}

func (client *Client) keyURL(key string) string {
	return client.baseURL + "/v1/keys/" + url.PathEscape(key)
}

// Get reads a key.
func (client *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return client.read(ctx, client.keyURL(key), "read")
}

// Watch waits until a key's version is above the given one, and returns its
// value then; ErrNotFound when nothing has changed for a while.
func (client *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+requestTimeout)
	defer cancel()
	query := fmt.Sprintf("?after=%d&wait_ms=%d", after, watchTimeout.Milliseconds())
	return client.read(ctx, client.keyURL(key)+query, "watch")
}

func (client *Client) read(ctx context.Context, target, step string) (Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Value{}, client.wrap(err, step)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return Value{}, client.wrap(err, step)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		return Value{}, client.wrap(err, step)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumValueSize))
	if err != nil {
		return Value{}, client.wrap(err, step)
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	return Value{Data: data, Version: version}, client.wrap(err, step)
}

// CompareAndSwap writes a key if its version is the expected one; 0 expects no
// value. ErrUnknownOutcome means that the write may have taken effect.
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

func (client *Client) wrap(err error, step string) error {
	return errors.Wrapf(err, "store %s: %s", client.baseURL, step)
}
