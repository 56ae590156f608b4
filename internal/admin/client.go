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

// Client speaks to the administration API of one node.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

const clientTimeout = 15 * time.Second

// NewClient makes a client for a node's admin address; token may be empty.
func NewClient(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// NewSecureClient makes a client that speaks TLS and trusts the authorities.
func NewSecureClient(address, token string, authorities *x509.CertPool) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}}
	return &Client{baseURL: "https://" + address, token: token, http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// Configuration reads the configuration.
func (client *Client) Configuration(ctx context.Context) (*apiv1.Configuration, error) {
	answer := &apiv1.Configuration{}
	return answer, client.do(ctx, http.MethodGet, "/v1/configuration", nil, answer)
}

// Status reads a node's status.
func (client *Client) Status(ctx context.Context) (*apiv1.NodeStatus, error) {
	answer := &apiv1.NodeStatus{}
	return answer, client.do(ctx, http.MethodGet, "/v1/status", nil, answer)
}

// NotInForce lists the live nodes on which the accepted revision is missing, as
// one node sees it.
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

// Facts reads what a node knows of the back ends.
func (client *Client) Facts(ctx context.Context) (*apiv1.FactsReport, error) {
	answer := &apiv1.FactsReport{}
	return answer, client.do(ctx, http.MethodGet, "/v1/facts", nil, answer)
}

// RecentFlows lists the flows of a node's newest decisions.
func (client *Client) RecentFlows(ctx context.Context) (*apiv1.RecentFlows, error) {
	answer := &apiv1.RecentFlows{}
	return answer, client.do(ctx, http.MethodGet, "/v1/recent-flows", nil, answer)
}

// Explain asks the node about a flow.
func (client *Client) Explain(ctx context.Context, flow string) (*apiv1.Explanation, error) {
	answer := &apiv1.Explanation{}
	return answer, client.do(ctx, http.MethodGet, "/v1/decisions?flow="+url.QueryEscape(flow), nil, answer)
}

// Change asks for a change. It fails with a *change.Problem when refused.
func (client *Client) Change(ctx context.Context, request *apiv1.ChangeRequest) (*apiv1.ChangeAnswer, error) {
	answer := &apiv1.ChangeAnswer{}
	return answer, client.do(ctx, http.MethodPost, "/v1/changes", request, answer)
}

func (client *Client) do(ctx context.Context, method, path string, body, answer proto.Message) error {
	var content io.Reader
	if body != nil {
		encoded, err := protojson.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "node %s: encode", client.baseURL)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, content)
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
	return errors.Wrapf(protojson.Unmarshal(data, answer), "node %s: decode", client.baseURL)
}
