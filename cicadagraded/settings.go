package main

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/spf13/pflag"

	"cicadagrade.example/tier"
)

// Defaults and upper bounds of the settings.
const (
	defaultBalancerLag  = 3 * tier.Second
	maxBalancerLag      = 5 * tier.Minute
	defaultStopLimit    = tier.MaxDeadlineAllowed + tier.Minute
	maxStopLimit        = 30 * tier.Minute
	defaultMaxBodyBytes = 64 << 10
	maxMaxBodyBytes     = 1 << 20
	defaultMemoryMB     = 1024
	minMemoryMB         = 32
	maxMemoryMB         = 1 << 20
	maxFileDescriptors  = 1 << 20
	defaultMaxRequests  = 4096
	maxMaxRequests      = 1 << 20
	envPrefix           = "CICADAGRADED_"
)

// settings holds the configuration of a VM from flags and environment variables.
type settings struct {
	name          string
	dataCentre    string
	apiAddress    string
	peerAddress   string
	peerAdvertise string
	storeAddress  string
	vmListPrefix  string
	seeds         []string
	dialOverrides map[string]string
	balancerLag   tier.Millis
	stopLimit     tier.Millis
	maxBodyBytes  int
	maxRequests   int
	memoryMB      int
	descriptors   int
	logLevel      log.Level
}

// setting describes a setting and how its value is parsed.
type setting struct {
	flag         string
	usage        string
	defaultValue string
	allowed      string
	parse        func(s *settings, value string) bool
}

// env returns the name of the setting's environment variable.
func (t setting) env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(t.flag, "-", "_"))
}

// settingsTable lists every setting. A test checks docs/operators/running.md against it.
func settingsTable() []setting {
	return []setting{
		{"name", "name of this VM, unique in the deployment", "", "a kebab-case name of at most 63 characters", setName(func(s *settings) *string { return &s.name })},
		{"data-centre", "data centre that this VM runs in", "", "a kebab-case name of at most 63 characters", setName(func(s *settings) *string { return &s.dataCentre })},
		{"api-address", "address on which this VM listens for callers", "127.0.0.1:7070", addressAllowed, setAddress(func(s *settings) *string { return &s.apiAddress })},
		{"peer-address", "address on which this VM listens for other VMs", "127.0.0.1:7071", addressAllowed, setAddress(func(s *settings) *string { return &s.peerAddress })},
		{"peer-advertise", "address at which other VMs reach this VM; empty: peer-address", "", "empty, or " + addressAllowed, setOptional(setAddress(func(s *settings) *string { return &s.peerAdvertise }))},
		{"store", "address of the platform's metadata store", "127.0.0.1:2379", addressAllowed, setAddress(func(s *settings) *string { return &s.storeAddress })},
		{"vm-list-prefix", "prefix of the store key that holds the platform's list of VMs; the data centre's name is appended", "platform/vms/", "1 to 256 bytes", setString(256, func(s *settings) *string { return &s.vmListPrefix })},
		{"seeds", "peer addresses of some other VMs, separated by commas", "", "empty, or IP addresses with ports, separated by commas", setSeeds},
		{"dial", "addresses to dial instead of those of VMs and the store, such as a relay's", "", "empty, or pairs ADDRESS=REPLACEMENT of IP addresses with ports, separated by commas", setDialOverrides},
		{"balancer-lag-ms", "how long the platform's load balancer may still send requests after the readiness check fails, in milliseconds", formatMillis(defaultBalancerLag), "0 to 300000", setMillis(0, maxBalancerLag, func(s *settings) *tier.Millis { return &s.balancerLag })},
		{"stop-limit-ms", "how long a graceful shutdown waits for requests in flight, in milliseconds", formatMillis(defaultStopLimit), "1000 to 1800000", setMillis(tier.Second, maxStopLimit, func(s *settings) *tier.Millis { return &s.stopLimit })},
		{"max-body-bytes", "maximum size of the body of a caller's request, in bytes", strconv.Itoa(defaultMaxBodyBytes), "1024 to 1048576", setInt(1024, maxMaxBodyBytes, func(s *settings) *int { return &s.maxBodyBytes })},
		{"max-requests", "maximum number of callers' requests in flight at once", strconv.Itoa(defaultMaxRequests), "1 to 1048576", setInt(1, maxMaxRequests, func(s *settings) *int { return &s.maxRequests })},
		{"memory-mb", "memory that the process may use, in MB; callers' connections get a quarter of it, and the bodies of their requests an eighth", strconv.Itoa(defaultMemoryMB), "32 to 1048576", setInt(minMemoryMB, maxMemoryMB, func(s *settings) *int { return &s.memoryMB })},
		{"file-descriptors", "number of file descriptors that the process may open, of which callers' connections get half; 0: as many as the operating system allows", "0", "0 to 1048576", setInt(0, maxFileDescriptors, func(s *settings) *int { return &s.descriptors })},
		{"log-level", "minimum level that is logged", "info", "debug, info, warn or error", setLogLevel},
	}
}

const addressAllowed = "an IP address and port, such as 127.0.0.1:7070"

func formatMillis(m tier.Millis) string { return strconv.FormatInt(int64(m), 10) }

func setName(field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return tier.ValidName(v)
	}
}

func setString(maxBytes int, field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return len(v) >= 1 && len(v) <= maxBytes
	}
}

func setAddress(field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return validAddress(v)
	}
}

func setOptional(parse func(*settings, string) bool) func(*settings, string) bool {
	return func(s *settings, v string) bool { return v == "" || parse(s, v) }
}

func setSeeds(s *settings, v string) bool {
	if v == "" {
		return true
	}
	s.seeds = strings.Split(v, ",")
	for _, a := range s.seeds {
		if !validAddress(a) {
			return false
		}
	}
	return true
}

func setDialOverrides(s *settings, v string) bool {
	s.dialOverrides = map[string]string{}
	if v == "" {
		return true
	}
	for _, pair := range strings.Split(v, ",") {
		from, to, ok := strings.Cut(pair, "=")
		if !ok || !validAddress(from) || !validAddress(to) {
			return false
		}
		s.dialOverrides[from] = to
	}
	return true
}

// dialAddress returns the address to dial instead of address: its override, or itself.
func (s *settings) dialAddress(address string) string {
	if to, ok := s.dialOverrides[address]; ok {
		return to
	}
	return address
}

func setMillis(minimum, maximum tier.Millis, field func(*settings) *tier.Millis) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(s) = tier.Millis(n)
		return err == nil && tier.Millis(n) >= minimum && tier.Millis(n) <= maximum
	}
}

func setInt(minimum, maximum int, field func(*settings) *int) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		n, err := strconv.Atoi(v)
		*field(s) = n
		return err == nil && n >= minimum && n <= maximum
	}
}

func setLogLevel(s *settings, v string) bool {
	level, err := log.ParseLevel(v)
	s.logLevel = level
	return err == nil && level <= log.ErrorLevel
}

func validAddress(v string) bool {
	addrPort, err := netip.ParseAddrPort(v)
	return err == nil && addrPort.Port() > 0
}

// registerFlags adds a flag for each setting. loadSettings falls back to the environment for
// flags that were not given.
func registerFlags(flags *pflag.FlagSet) {
	for _, t := range settingsTable() {
		usage := fmt.Sprintf("%s; %s (environment: %s)", t.usage, t.allowed, t.env())
		flags.String(t.flag, t.defaultValue, usage)
	}
}

// loadSettings reads every setting; a flag takes precedence over the environment variable. It
// reports all invalid settings in one *tier.InvalidError.
func loadSettings(flags *pflag.FlagSet) (*settings, error) {
	s := &settings{}
	var problems []tier.FieldProblem
	for _, t := range settingsTable() {
		value, source := lookUp(flags, t)
		if !t.parse(s, value) {
			problems = append(problems, tier.NewFieldProblem(source, value, t.allowed))
		}
	}
	if len(problems) == 0 && s.stopLimit <= s.balancerLag {
		problems = append(problems, tier.NewFieldProblem("stop-limit-ms", s.stopLimit, "more than balancer-lag-ms"))
	}
	if s.peerAdvertise == "" {
		s.peerAdvertise = s.peerAddress
	}
	return s, tier.NewInvalidError("settings", problems)
}

// lookUp returns a setting's value, and the flag or environment variable it came from.
func lookUp(flags *pflag.FlagSet, t setting) (value, source string) {
	f := flags.Lookup(t.flag)
	if f.Changed {
		return f.Value.String(), "--" + t.flag
	}
	if v, ok := os.LookupEnv(t.env()); ok {
		return v, t.env()
	}
	return t.defaultValue, "--" + t.flag
}
