package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/change"
)

// Client calls the administration API of one node. It is safe for use by many
// goroutines.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

const clientTimeout = 15 * time.Second

// NewClient returns a client that uses plain HTTP to a node's admin address. An
// empty token sends none.
func NewClient(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// NewSecureClient returns a client that uses TLS 1.3 and trusts the authorities.
// An empty token sends none.
func NewSecureClient(address, token string, authorities *x509.CertPool) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}}
	return &Client{baseURL: "https://" + address, token: token, http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// Configuration reads the newest configuration that the node knows, without the
// hashes of the tokens.
func (client *Client) Configuration(ctx context.Context) (*apiv1.Configuration, error) {
	result := &apiv1.Configuration{}
	return result, client.do(ctx, http.MethodGet, "/v1/configuration", nil, result)
}

// Status reads the status of the node and its view of the group.
func (client *Client) Status(ctx context.Context) (*apiv1.NodeStatus, error) {
	result := &apiv1.NodeStatus{}
	return result, client.do(ctx, http.MethodGet, "/v1/status", nil, result)
}

// NotInForce returns the IDs of the live nodes on which the accepted revision is
// not yet in force, according to the status of one node.
func NotInForce(status *apiv1.NodeStatus) []string {
	var missing []string
	if status.GetInForceRevision() < status.GetAcceptedRevision() {
		missing = append(missing, status.GetId())
	}
	for _, peer := range status.GetPeers() {
		if peer.GetAlive() && peer.GetInForceRevision() < status.GetAcceptedRevision() {
			missing = append(missing, peer.GetId())
		}
	}
	return missing
}

// Facts reads the node's data on the back ends.
func (client *Client) Facts(ctx context.Context) (*apiv1.FactsReport, error) {
	result := &apiv1.FactsReport{}
	return result, client.do(ctx, http.MethodGet, "/v1/facts", nil, result)
}

// RecentFlows reads the flows of the node's newest decisions.
func (client *Client) RecentFlows(ctx context.Context) (*apiv1.RecentFlows, error) {
	result := &apiv1.RecentFlows{}
	return result, client.do(ctx, http.MethodGet, "/v1/recent-flows", nil, result)
}

// Explain reads the decisions that the node has recorded about a flow, given as
// SOURCE:PORT-DESTINATION:PORT.
func (client *Client) Explain(ctx context.Context, flow string) (*apiv1.Explanation, error) {
	result := &apiv1.Explanation{}
	return result, client.do(ctx, http.MethodGet, "/v1/decisions?flow="+url.QueryEscape(flow), nil, result)
}

// Change requests a change of the configuration. The error is a *change.Problem
// if the node refuses it.
func (client *Client) Change(ctx context.Context, request *apiv1.ChangeRequest) (*apiv1.ChangeAnswer, error) {
	result := &apiv1.ChangeAnswer{}
	return result, client.do(ctx, http.MethodPost, "/v1/changes", request, result)
}

// do sends a request and decodes the response. The error is a *change.Problem if
// the response carries one.
func (client *Client) do(ctx context.Context, method, path string, body, result proto.Message) error {
	var requestBody io.Reader
	if body != nil {
		encoded, err := protojson.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "node %s: encode", client.baseURL)
		}
		requestBody = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, requestBody)
	if err != nil {
		return errors.Wrapf(err, "node %s", client.baseURL)
	}
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "node %s: no answer; is the address the node's admin_address?", client.baseURL)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "node %s: read", client.baseURL)
	}
	if response.StatusCode >= http.StatusBadRequest {
		problem := &change.Problem{Problem: &apiv1.Problem{}}
		if protojson.Unmarshal(data, problem.Problem) != nil {
			return errors.Newf("node %s: status %d: %s", client.baseURL, response.StatusCode, data)
		}
		return problem
	}
	return errors.Wrapf(protojson.Unmarshal(data, result), "node %s: decode", client.baseURL)
}
