package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodBalancer = `name: edge-maadi-1
zone: maadi
data_address: 10.1.0.10:8172
readiness_address: 10.1.0.10:8167
peer_address: 10.1.0.10:8166
store_address: 10.200.1.7:8169
seeds: "10.1.0.10:8166,10.2.0.40:8166"
`

func writeBalancerSettings(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "balancer.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestBalancerSettings(t *testing.T) {
	loaded, err := LoadBalancer(writeBalancerSettings(t, goodBalancer), nil)
	require.NoError(t, err)
	require.Equal(t, []string{"10.1.0.10:8166", "10.2.0.40:8166"}, loaded.GetSeeds())
	require.Equal(t, uint32(1000), loaded.GetPollMilliseconds())
}

func TestAllFaultsOfBalancerSettingsAreReported(t *testing.T) {
	_, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"poll_milliseconds: 5\nlog_level: loud\nnonsense: 1\n"), nil)
	require.Error(t, err)
	for _, part := range []string{"poll_milliseconds", `"5"`, "set it between 100", "log_level", `"loud"`, "use one of", "nonsense"} {
		require.Contains(t, err.Error(), part)
	}
}

// The pace follows the shortest of the times in which changes must be in force; an
// evacuation has that of configurations unless it is given.
func TestPollIntervalFollowsEvacuationTime(t *testing.T) {
	loaded, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"configuration_milliseconds: 5000\ndrain_milliseconds: 5000\n"), nil)
	require.NoError(t, err)
	require.Equal(t, 5000.0, loaded.GetEvacuationMilliseconds())
	require.Equal(t, uint32(1666), loaded.GetPollMilliseconds())
	loaded, err = LoadBalancer(writeBalancerSettings(t, goodBalancer+
		"configuration_milliseconds: 5000\ndrain_milliseconds: 5000\nevacuation_milliseconds: 2400\n"), nil)
	require.NoError(t, err)
	require.Equal(t, uint32(800), loaded.GetPollMilliseconds())
	_, err = LoadBalancer(writeBalancerSettings(t, goodBalancer+"evacuation_milliseconds: 5\nwarmup_slack: -1\n"), nil)
	require.ErrorContains(t, err, "evacuation_milliseconds")
	require.ErrorContains(t, err, "warmup_slack")
}

func TestPollIntervalFollowsChangeTimes(t *testing.T) {
	loaded, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"configuration_milliseconds: 2400.5\ndrain_milliseconds: 1500\n"), nil)
	require.NoError(t, err)
	require.Equal(t, uint32(500), loaded.GetPollMilliseconds())
	require.Equal(t, uint32(700), loaded.GetStaleMilliseconds())
	_, err = LoadBalancer(writeBalancerSettings(t, goodBalancer+"drain_milliseconds: soon\nflow_seconds: 0.5\n"), nil)
	require.ErrorContains(t, err, "drain_milliseconds")
	require.ErrorContains(t, err, "flow_seconds")
}

// An age below 1.4 paces would be reached while nothing fails: all would read the
// store at the same moment.
func TestStaleAgeMustExceedPollInterval(t *testing.T) {
	_, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"poll_milliseconds: 1000\nstale_milliseconds: 1399\n"), nil)
	for _, part := range []string{"stale_milliseconds", `"1399"`, "set it between 1400"} {
		require.ErrorContains(t, err, part)
	}
	loaded, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"poll_milliseconds: 1000\nstale_milliseconds: 1400\n"), nil)
	require.NoError(t, err)
	require.Equal(t, uint32(1400), loaded.GetStaleMilliseconds())
}

// templateAction is a gap or the end of a section in the deploy template.
var templateAction = regexp.MustCompile(`\{\{[^}]*\}\}`)

// The template that the platform fills names only fields that exist.
func TestDeployTemplateNamesKnownFields(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.yaml"))
	require.NoError(t, err)
	filled := templateAction.ReplaceAllString(string(content), "")
	for _, fault := range readFile([]byte(filled), BalancerDefaults(), make(map[string]int)) {
		require.NotContains(t, fault.Message, "no such field", fault.String())
	}
}

func TestOnlySimilarFieldsAreSuggested(t *testing.T) {
	_, err := LoadBalancer(writeBalancerSettings(t, goodBalancer+"nonsense: 1\nlog_levle: info\n"), nil)
	require.ErrorContains(t, err, `nonsense = "1": there is no such field; remove it`)
	require.ErrorContains(t, err, "did you mean log_level?")
}

func FuzzBalancerSettings(f *testing.F) {
	f.Add(goodBalancer)
	f.Add("flow_seconds: 1e308\nseeds: [a, b]\n")
	f.Fuzz(func(t *testing.T, content string) {
		loaded, err := LoadBalancer(writeBalancerSettings(t, content), nil)
		if err == nil {
			require.NotEmpty(t, loaded.GetName())
			require.Positive(t, loaded.GetPollMilliseconds())
		}
	})
}
