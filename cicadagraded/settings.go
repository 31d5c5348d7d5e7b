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

// Bounds of the settings.
const (
	defaultBalancerLag  = 3 * tier.Second
	maxBalancerLag      = 5 * tier.Minute
	defaultStopLimit    = tier.MaxDeadlineAllowed + tier.Minute
	maxStopLimit        = 30 * tier.Minute
	defaultMaxBodyBytes = 64 << 10
	maxMaxBodyBytes     = 1 << 20
	defaultMaxRequests  = 4096
	maxMaxRequests      = 1 << 20
	envPrefix           = "CICADAGRADED_"
)

// settings is what a VM learns at its start from flags and environment.
type settings struct {
	name          string
	dataCentre    string
	apiAddress    string
	peerAddress   string
	peerAdvertise string
	storeAddress  string
	vmListPrefix  string
	seeds         []string
	dial          map[string]string
	balancerLag   tier.Millis
	stopLimit     tier.Millis
	maxBodyBytes  int
	maxRequests   int
	logLevel      log.Level
}

// setting is one row of the settings table.
type setting struct {
	flag    string
	usage   string
	initial string
	allowed string
	set     func(s *settings, value string) bool
}

// env is the environment variable that holds the setting.
func (t setting) env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(t.flag, "-", "_"))
}

// settingsTable lists every setting. docs/operators/running.md is checked
// against it by a test.
func settingsTable() []setting {
	return []setting{
		{"name", "name of this VM, unique in the deployment", "", "a kebab-case name of at most 63 characters", setName(func(s *settings) *string { return &s.name })},
		{"data-centre", "data centre that this VM runs in", "", "a kebab-case name of at most 63 characters", setName(func(s *settings) *string { return &s.dataCentre })},
		{"api-address", "where callers reach this VM", "127.0.0.1:7070", addressAllowed, setAddress(func(s *settings) *string { return &s.apiAddress })},
		{"peer-address", "where this VM listens for other VMs", "127.0.0.1:7071", addressAllowed, setAddress(func(s *settings) *string { return &s.peerAddress })},
		{"peer-advertise", "where other VMs reach this VM; empty: peer-address", "", "empty, or " + addressAllowed, setOptional(setAddress(func(s *settings) *string { return &s.peerAdvertise }))},
		{"store", "the platform's metadata store", "127.0.0.1:2379", addressAllowed, setAddress(func(s *settings) *string { return &s.storeAddress })},
		{"vm-list-prefix", "start of the store's key of the platform's list of VMs; the data centre's name follows", "platform/vms/", "1 to 256 bytes", setText(256, func(s *settings) *string { return &s.vmListPrefix })},
		{"seeds", "peer addresses of some other VMs, separated by commas", "", "empty, or IP numbers with ports, separated by commas", setSeeds},
		{"dial", "other addresses to dial in place of those of VMs and the store, such as a relay's", "", "empty, or pairs ADDRESS=ADDRESS of IP numbers with ports, separated by commas", setDial},
		{"balancer-lag-ms", "how long the platform's balancer may still send work after readiness fails", millisText(defaultBalancerLag), "0 to 300000", setMillis(0, maxBalancerLag, func(s *settings) *tier.Millis { return &s.balancerLag })},
		{"stop-limit-ms", "how long a planned stop waits for work in flight", millisText(defaultStopLimit), "1000 to 1800000", setMillis(tier.Second, maxStopLimit, func(s *settings) *tier.Millis { return &s.stopLimit })},
		{"max-body-bytes", "largest body of a caller's request", strconv.Itoa(defaultMaxBodyBytes), "1024 to 1048576", setInt(1024, maxMaxBodyBytes, func(s *settings) *int { return &s.maxBodyBytes })},
		{"max-requests", "most callers' requests in flight at once", strconv.Itoa(defaultMaxRequests), "1 to 1048576", setInt(1, maxMaxRequests, func(s *settings) *int { return &s.maxRequests })},
		{"log-level", "least level that is logged", "info", "debug, info, warn or error", setLogLevel},
	}
}

const addressAllowed = "an IP number and port, such as 127.0.0.1:7070"

func millisText(m tier.Millis) string { return strconv.FormatInt(int64(m), 10) }

func setName(field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return tier.ValidName(v)
	}
}

func setText(most int, field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return len(v) >= 1 && len(v) <= most
	}
}

func setAddress(field func(*settings) *string) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		*field(s) = v
		return validAddress(v)
	}
}

func setOptional(set func(*settings, string) bool) func(*settings, string) bool {
	return func(s *settings, v string) bool { return v == "" || set(s, v) }
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

func setDial(s *settings, v string) bool {
	s.dial = map[string]string{}
	if v == "" {
		return true
	}
	for _, pair := range strings.Split(v, ",") {
		from, to, ok := strings.Cut(pair, "=")
		if !ok || !validAddress(from) || !validAddress(to) {
			return false
		}
		s.dial[from] = to
	}
	return true
}

// dialled is the address to dial in place of another.
func (s *settings) dialled(address string) string {
	if to, ok := s.dial[address]; ok {
		return to
	}
	return address
}

func setMillis(low, high tier.Millis, field func(*settings) *tier.Millis) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(s) = tier.Millis(n)
		return err == nil && tier.Millis(n) >= low && tier.Millis(n) <= high
	}
}

func setInt(low, high int, field func(*settings) *int) func(*settings, string) bool {
	return func(s *settings, v string) bool {
		n, err := strconv.Atoi(v)
		*field(s) = n
		return err == nil && n >= low && n <= high
	}
}

func setLogLevel(s *settings, v string) bool {
	l, err := log.ParseLevel(v)
	s.logLevel = l
	return err == nil && l <= log.ErrorLevel
}

func validAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() > 0
}

// register adds a flag for each setting; the environment gives its default.
func register(flags *pflag.FlagSet) {
	for _, t := range settingsTable() {
		usage := fmt.Sprintf("%s; %s (environment: %s)", t.usage, t.allowed, t.env())
		flags.String(t.flag, t.initial, usage)
	}
}

// loadSettings reads every setting, the flag before the environment, and
// reports all bad ones in one *tier.InvalidError.
func loadSettings(flags *pflag.FlagSet) (*settings, error) {
	s := &settings{}
	var problems []tier.FieldProblem
	for _, t := range settingsTable() {
		value, source := lookUp(flags, t)
		if !t.set(s, value) {
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

// lookUp returns a setting's value and where it came from.
func lookUp(flags *pflag.FlagSet, t setting) (value, source string) {
	f := flags.Lookup(t.flag)
	if f.Changed {
		return f.Value.String(), "--" + t.flag
	}
	if v, ok := os.LookupEnv(t.env()); ok {
		return v, t.env()
	}
	return t.initial, "--" + t.flag
}
