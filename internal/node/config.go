package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/quota"
	"craneglade/internal/settings"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// Config is what a node is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // where the list of backends comes from
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int         // descriptors that the process may hold
	Known     engine.List // the backends as this node last had them
	Settings  wire.Settings
	Own       *settings.File // this program's own; nil where there is none

	dial         dial                                      // opens connections to boxes; nil for the system's own
	backendQuota *quota.Quota                              // descriptors for connections to boxes, in place of the node's own
	waited       func(net.Conn) time.Duration              // how long bytes of clients lay unread; nil for what the kernel says
	now          func() time.Time                          // what connections to boxes age by; nil for the system's clock
	pause        func(context.Context, time.Duration) bool // how they rest between two requests; nil for a timer
}

// dial opens a connection to an address.
type dial func(ctx context.Context, addr string) (net.Conn, error)

// Load reads the configuration from the GW_* variables and the file that GW_CONFIG names; a variable that is
// set goes before the file. An error names the field that is at fault, on one line.
func Load(getenv func(string) string) (Config, error) { return load(getenv, false) }

// Reload reads the configuration again. The file's discovery now goes before GW_DISCOVERY, which tells the one at
// the start.
func Reload(getenv func(string) string) (Config, error) { return load(getenv, true) }

func load(getenv func(string) string, again bool) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    engine.List     `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err) // a wrong type's message names its field
	}
	cfg := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	for _, v := range []struct {
		name  string
		field *string
	}{{"GW_NAME", &cfg.Name}, {"GW_LISTEN", &cfg.Listen}, {"GW_DISCOVERY", &cfg.Discovery}} {
		if again && v.field == &cfg.Discovery && cfg.Discovery != "" {
			continue
		}
		if s := getenv(v.name); s != "" {
			*v.field = s
		}
	}
	for _, f := range []struct{ name, addr string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}} {
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return Config{}, fmt.Errorf("%s: %q is not host:port", f.name, f.addr)
		}
	}
	switch {
	case cfg.Cores < 0:
		return Config{}, fmt.Errorf("limits.cores: %v is negative", cfg.Cores)
	case cfg.MemoryMB < 0:
		return Config{}, fmt.Errorf("limits.memory_mb: %d is negative", cfg.MemoryMB)
	case cfg.Sockets < 0 || cfg.Sockets > 0 && cfg.Sockets < minSockets:
		return Config{}, fmt.Errorf("limits.sockets: %d is below %d", cfg.Sockets, minSockets)
	case len(file.Settings) == 0:
		return Config{}, errors.New("settings: missing")
	}
	for i, s := range cfg.Known.Servers {
		if s.ID == "" || s.Addr == "" {
			return Config{}, fmt.Errorf("known.servers[%d]: id or addr is missing", i)
		}
	}
	if cfg.Settings, err = wire.DecodeSettings(file.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := cfg.Settings.Policy.Validate(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if cfg.Settings.ConnIdle < 0 || cfg.Settings.ConnectTimeout < 0 {
		return Config{}, errors.New("settings: policy_limits: conn_idle_s or connect_timeout_s is negative")
	}
	h := fnv.New64a()
	h.Write([]byte(file.Seed)) // whatever its form: all of it counts
	cfg.Seed = h.Sum64()
	return cfg, nil
}

// CheckOwn holds the program's own settings against the platform's.
func (cfg *Config) CheckOwn() error {
	for i, c := range cfg.Own.Bodies.Classes {
		if !slices.ContainsFunc(cfg.Settings.Policy.Classes, func(k policy.Class) bool { return k.Name == c.Name }) {
			return fmt.Errorf("bodies.class[%d].name: the service has no class %q", i, c.Name)
		}
	}
	for i, m := range cfg.Own.JSONRPC.Methods {
		at := slices.IndexFunc(cfg.Settings.Policy.Classes, func(k policy.Class) bool { return k.Name == m.Class })
		switch {
		case at < 0:
			return fmt.Errorf("jsonrpc.method[%d].class: the service has no class %q", i, m.Class)
		case cfg.Settings.Policy.Classes[at].Effect == policy.Keyed && m.Key == "":
			return fmt.Errorf("jsonrpc.method[%d].key: class %q may go again by its key: say where calls have it", i, m.Class)
		case m.ClientTimeout == 0 && cfg.Settings.Policy.Classes[at].Deadline <= 0:
			return fmt.Errorf("jsonrpc.method[%d].patience: class %q has no deadline: say how long its clients wait", i, m.Class)
		}
	}
	return nil
}
