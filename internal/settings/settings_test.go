package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodNode = `id: maadi-1
group: main
zone: maadi
store_address: 127.0.0.1:7000
seeds: [nasr-2@127.0.0.2:6090]
flow_capacity: 200000
`

func writeNodeSettings(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestLoad(t *testing.T) {
	loaded, err := Load(writeNodeSettings(t, goodNode), map[string]string{"zone": "giza"})
	require.NoError(t, err)
	require.Equal(t, "giza", loaded.GetZone(), "a flag goes over the file")
	require.Equal(t, uint32(200_000), loaded.GetFlowCapacity())
	require.Equal(t, []string{"nasr-2@127.0.0.2:6090"}, loaded.GetSeeds())
	require.Equal(t, uint32(500), loaded.GetHeartbeatMilliseconds(), "a default")
}

func TestFaults(t *testing.T) {
	cases := map[string]struct{ line, want string }{
		"unknown field": {"flow_capcity: 5", `line 7: flow_capcity = "5": there is no such field; did you mean flow_capacity?`},
		"not a number":  {"explain_records: many", `line 7: explain_records = "many": is not a whole number of 0 or more; write digits only`},
		"out of range":  {"heartbeat_milliseconds: 5", `line 7: heartbeat_milliseconds = "5": is out of range; set it between 50 and 10000`},
		"bad address":   {"peer_address: here", `line 7: peer_address = "here": is not an IPv4 address and port; write it like 127.0.0.1:6080`},
		"bad level":     {"log_level: loud", `line 7: log_level = "loud": is not known; use one of debug, info, warn, error`},
		"bad seed":      {"machines_address: 127.0.0.1", `line 7: machines_address = "127.0.0.1": is not an IPv4 address and port; write it like 127.0.0.1:6080`},
		"set twice":     {"zone: nasr", `line 7: zone = "nasr": is set twice; remove it or line 3`},
		"too quick":     {"fencing_milliseconds: 600", `line 7: fencing_milliseconds = "600": is out of range; set it between 1500 and 120000`},
		"no key":        {"admin_certificate: a.pem", `flag or default: admin_key = "": is missing; set all of admin_certificate, admin_key, or none`},
		"bad hash":      {"admin_token_sha256: abc", `line 7: admin_token_sha256 = "abc": is not a SHA-256 in hex; write 64 of 0 to 9 and a to f`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Load(writeNodeSettings(t, goodNode+test.line+"\n"), nil)
			require.EqualError(t, err, test.want)
		})
	}
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, err := Load(writeNodeSettings(t, "id: A\nzone: maadi\nlog_level: loud\n"), nil)
	var faults Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 3, "the name, the level and the missing store: %v", err)
}
