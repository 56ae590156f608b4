// Package settings loads the settings of a node or a balancer: defaults, overridden by a
// YAML file, overridden by flags. The file is checked against the NodeSettings or the
// BalancerSettings schema. All faults are reported at once, each with its line, field, value
// and remedy.
//
// # Usage
//
//	loaded, err := settings.LoadBalancer(path, map[string]string{"log_level": "debug"})
package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Fault is one error in the settings.
type Fault struct {
	// Line is the line in the file, or 0 if the value is not from the file.
	Line    int
	Field   string
	Value   string
	Message string
	Remedy  string
}

// String returns the fault as one line of text.
func (fault Fault) String() string {
	source := "flag or default"
	if fault.Line > 0 {
		source = "line " + strconv.Itoa(fault.Line)
	}
	return fmt.Sprintf("%s: %s = %q: %s; %s", source, fault.Field, fault.Value, fault.Message, fault.Remedy)
}

// Faults holds all errors in the settings. It implements error.
type Faults []Fault

// Error returns the faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Defaults returns the settings of a node without a file and flags.
func Defaults() *apiv1.NodeSettings {
	return &apiv1.NodeSettings{
		Group:                 "main",
		DataAddress:           "127.0.0.1:6080",
		PeerAddress:           "127.0.0.1:6090",
		AdminAddress:          "127.0.0.1:6070",
		FlowCapacity:          400_000,
		FlowIdleSeconds:       900,
		ControlBytesPerSecond: 4096,
		LogLevel:              "info",
		LogFormat:             "text",
		HeartbeatMilliseconds: 500,
		FencingMilliseconds:   2000,
		ExplainRecords:        65536,
	}
}

// Load returns the settings of a node: the defaults, overridden by a file unless the path is
// empty, and then by overrides, which map field names to values from flags. The settings
// are validated as a whole, and all faults are returned at once as Faults.
func Load(path string, overrides map[string]string) (*apiv1.NodeSettings, error) {
	loaded := Defaults()
	lines, faults, err := read(path, overrides, loaded)
	if err != nil {
		return nil, err
	}
	faults = append(faults, check(loaded, lines)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return loaded, nil
}

// read sets the fields of a settings message from a file and from overrides. It returns the
// line of each field in the file, and the faults found.
func read(path string, overrides map[string]string, loaded proto.Message) (map[string]int, Faults, error) {
	lines := make(map[string]int)
	var faults Faults
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, errors.Wrap(err, "settings")
		}
		faults = append(faults, readFile(content, loaded, lines)...)
	}
	for name, value := range overrides {
		delete(lines, name)
		faults = append(faults, setField(loaded, name, value, 0)...)
	}
	return lines, faults, nil
}

func readFile(content []byte, loaded proto.Message, lines map[string]int) Faults {
	var document yaml.Node
	if err := yaml.Unmarshal(content, &document); err != nil {
		return Faults{{Line: 1, Field: "file", Message: err.Error(), Remedy: "write it as YAML, one \"field: value\" per line"}}
	}
	if len(document.Content) == 0 {
		return nil
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return Faults{{Line: root.Line, Field: "file", Value: root.Value, Message: "is not a list of fields",
			Remedy: "write one \"field: value\" per line"}}
	}
	var faults Faults
	for index := 0; index+1 < len(root.Content); index += 2 {
		name, value := root.Content[index], root.Content[index+1]
		if first := lines[name.Value]; first != 0 {
			faults = append(faults, Fault{Line: name.Line, Field: name.Value, Value: value.Value,
				Message: "is set twice", Remedy: fmt.Sprintf("remove it or line %d", first)})
		}
		lines[name.Value] = value.Line
		faults = append(faults, setNode(loaded, name.Value, value)...)
	}
	return faults
}

func setNode(loaded proto.Message, name string, value *yaml.Node) Faults {
	field := fieldOf(loaded, name)
	if field != nil && field.IsList() && value.Kind == yaml.SequenceNode {
		items := make([]string, 0, len(value.Content))
		for _, item := range value.Content {
			items = append(items, item.Value)
		}
		return setField(loaded, name, strings.Join(items, ","), value.Line)
	}
	if value.Kind != yaml.ScalarNode {
		return Faults{{Line: value.Line, Field: name, Message: "is not a single value", Remedy: "write one value"}}
	}
	return setField(loaded, name, value.Value, value.Line)
}

func fieldOf(loaded proto.Message, name string) protoreflect.FieldDescriptor {
	return loaded.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(name))
}

// setField sets one field from the text of its value.
func setField(loaded proto.Message, name, value string, line int) Faults {
	field := fieldOf(loaded, name)
	if field == nil {
		return Faults{{Line: line, Field: name, Value: value, Message: "there is no such field",
			Remedy: unknownFieldRemedy(loaded, name)}}
	}
	message := loaded.ProtoReflect()
	switch {
	case field.IsList():
		list := message.NewField(field).List()
		for _, item := range strings.Split(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				list.Append(protoreflect.ValueOfString(item))
			}
		}
		message.Set(field, protoreflect.ValueOfList(list))
	case field.Kind() == protoreflect.StringKind:
		message.Set(field, protoreflect.ValueOfString(value))
	case field.Kind() == protoreflect.BoolKind:
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return Faults{{Line: line, Field: name, Value: value, Message: "is not true or false", Remedy: "write true or false"}}
		}
		message.Set(field, protoreflect.ValueOfBool(parsed))
	case field.Kind() == protoreflect.DoubleKind:
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(parsed) || parsed < 0 {
			return Faults{{Line: line, Field: name, Value: value, Message: "is not a number of 0 or more",
				Remedy: "write a number like 3 or 2.5"}}
		}
		message.Set(field, protoreflect.ValueOfFloat64(parsed))
	default:
		parsed, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return Faults{{Line: line, Field: name, Value: value, Message: "is not a whole number of 0 or more",
				Remedy: "write digits only"}}
		}
		message.Set(field, protoreflect.ValueOfUint32(uint32(parsed)))
	}
	return nil
}

// suggestionDivisor limits how much a suggested name may differ: the edit distance may be
// at most the length of the name divided by it, that is, a third of the letters.
const suggestionDivisor = 3

// unknownFieldRemedy suggests a field with a similar name, or else to remove the field.
func unknownFieldRemedy(loaded proto.Message, name string) string {
	nearest := nearestField(loaded, name)
	if editDistance(name, nearest)*suggestionDivisor > len(nearest) {
		return "remove it"
	}
	return "did you mean " + nearest + "?"
}

func nearestField(loaded proto.Message, name string) string {
	fields := loaded.ProtoReflect().Descriptor().Fields()
	best, bestDistance := "", 1<<30
	for index := range fields.Len() {
		candidate := string(fields.Get(index).Name())
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings.
func editDistance(left, right string) int {
	previous := make([]int, len(right)+1)
	for index := range previous {
		previous[index] = index
	}
	for i := range left {
		current := make([]int, len(right)+1)
		current[0] = i + 1
		for j := range right {
			cost := 1
			if left[i] == right[j] {
				cost = 0
			}
			current[j+1] = min(previous[j]+cost, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(right)]
}

// check validates ranges, addresses and fields that must be set together.
func check(loaded *apiv1.NodeSettings, lines map[string]int) Faults {
	checker := &checker{lines: lines}
	checker.name("id", loaded.GetId())
	checker.name("group", loaded.GetGroup())
	checker.name("zone", loaded.GetZone())
	checker.address("data_address", loaded.GetDataAddress(), true)
	checker.address("peer_address", loaded.GetPeerAddress(), true)
	checker.address("admin_address", loaded.GetAdminAddress(), true)
	checker.address("store_address", loaded.GetStoreAddress(), true)
	checker.address("machines_address", loaded.GetMachinesAddress(), false)
	for _, seed := range loaded.GetSeeds() {
		checker.seed(seed)
	}
	checker.inRange("flow_capacity", loaded.GetFlowCapacity(), 1024, 16_000_000)
	checker.inRange("flow_idle_seconds", loaded.GetFlowIdleSeconds(), 60, 86_400)
	checker.inRange("control_bytes_per_second", loaded.GetControlBytesPerSecond(), 512, 1_000_000)
	checker.inRange("heartbeat_milliseconds", loaded.GetHeartbeatMilliseconds(), 50, 10_000)
	checker.inRange("explain_records", loaded.GetExplainRecords(), 1, 4_000_000)
	checker.inRange("fencing_milliseconds", loaded.GetFencingMilliseconds(),
		3*loaded.GetHeartbeatMilliseconds(), 120_000)
	checker.oneOf("log_level", loaded.GetLogLevel(), "debug", "info", "warn", "error")
	checker.oneOf("log_format", loaded.GetLogFormat(), "text", "json")
	checker.allOrNone(loaded, "admin_certificate", "admin_key")
	checker.allOrNone(loaded, "peer_certificate", "peer_key", "peer_authority")
	checker.hash("admin_token_sha256", loaded.GetAdminTokenSha256())
	return checker.faults
}

// checker collects the faults of a settings message.
type checker struct {
	lines  map[string]int
	faults Faults
}

func (checker *checker) fault(field, value, message, remedy string) {
	checker.faults = append(checker.faults, Fault{
		Line: checker.lines[field], Field: field, Value: value, Message: message, Remedy: remedy})
}

const maxNameLength = 63

func (checker *checker) name(field, value string) {
	valid := value != "" && len(value) <= maxNameLength
	for _, letter := range value {
		lower := letter >= 'a' && letter <= 'z' || letter >= '0' && letter <= '9'
		valid = valid && (lower || letter == '-' || letter == '.')
	}
	if !valid {
		checker.fault(field, value, "is not a name",
			"use 1 to 63 of a to z, 0 to 9, '-' and '.'")
	}
}

func (checker *checker) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || !parsed.Addr().Is4() || parsed.Port() == 0 {
		checker.fault(field, value, "is not an IPv4 address and port", "write it like 127.0.0.1:6080")
	}
}

func (checker *checker) seed(value string) {
	id, address, found := strings.Cut(value, "@")
	if _, err := netip.ParseAddrPort(address); !found || id == "" || err != nil {
		checker.fault("seeds", value, "is not a seed", "write ID@IP:PORT with the peer address of that node")
	}
}

func (checker *checker) inRange(field string, value, low, high uint32) {
	if value < low || value > high {
		checker.fault(field, strconv.FormatUint(uint64(value), 10), "is out of range",
			fmt.Sprintf("set it between %d and %d", low, high))
	}
}

func (checker *checker) oneOf(field, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	checker.fault(field, value, "is not known", "use one of "+strings.Join(allowed, ", "))
}

// allOrNone checks that fields which belong together are either all set or all empty.
func (checker *checker) allOrNone(loaded *apiv1.NodeSettings, fields ...string) {
	set := 0
	for _, field := range fields {
		if loaded.ProtoReflect().Get(fieldOf(loaded, field)).String() != "" {
			set++
		}
	}
	for _, field := range fields {
		if set > 0 && loaded.ProtoReflect().Get(fieldOf(loaded, field)).String() == "" {
			checker.fault(field, "", "is missing", "set all of "+strings.Join(fields, ", ")+", or none")
		}
	}
}

// hashDigits is the length of a SHA-256 hash in hex.
const hashDigits = 64

func (checker *checker) hash(field, value string) {
	valid := value == "" || len(value) == hashDigits
	for _, digit := range value {
		valid = valid && strings.ContainsRune("0123456789abcdef", digit)
	}
	if !valid {
		checker.fault(field, value, "is not a SHA-256 in hex", "write 64 of 0 to 9 and a to f")
	}
}
