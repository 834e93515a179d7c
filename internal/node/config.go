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

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/quota"
	"craneglade/internal/settings"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// Config is the configuration that a node is started with.
type Config struct {
	Name          string
	Listen        string // address that clients connect to
	Discovery     string // address of the discovery service
	Seed          uint64
	Cores         float64
	MemoryMB      int
	Sockets       int         // max file descriptors of the process; 0 for no limit
	Known         engine.List // the backends as this node last knew them
	Settings      wire.Settings
	LocalSettings *settings.File // settings of this program itself; nil if it has none

	memory           *admission.MemoryPlan                     // set by Run and start; nil for no limit
	dial             dialFunc                                  // opens connections to backends; nil for TCP
	backendQuota     *quota.Quota                              // descriptors for connections to backends; nil for the node's quotas
	sinceLastReceive func(net.Conn) time.Duration              // time since a client's connection last received data; nil for sock.SinceLastReceive
	now              func() time.Time                          // clock for the idle times of backend connections; nil for time.Now
	sleep            func(context.Context, time.Duration) bool // waits while they are idle between two requests; nil for timing.Sleep
}

// dialFunc opens a connection to a TCP address.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Load reads the configuration from the GW_* environment variables and the file that GW_CONFIG names. A variable that is set
// overrides the file. An error names the invalid field, on one line.
func Load(getenv func(string) string) (Config, error) { return load(getenv, false) }

// Reload reads the configuration again. The discovery address of the file now overrides GW_DISCOVERY, which is the one at the start.
func Reload(getenv func(string) string) (Config, error) { return load(getenv, true) }

func load(getenv func(string) string, reloading bool) (Config, error) {
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
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err) // the message for a wrong type names the field
	}
	cfg := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	for _, v := range []struct {
		name  string
		field *string
	}{{"GW_NAME", &cfg.Name}, {"GW_LISTEN", &cfg.Listen}, {"GW_DISCOVERY", &cfg.Discovery}} {
		if reloading && v.field == &cfg.Discovery && cfg.Discovery != "" {
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
	for i, s := range cfg.Known.Backends {
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
	if cfg.Settings.BackendIdleTimeout < 0 || cfg.Settings.ConnectTimeout < 0 {
		return Config{}, errors.New("settings: policy_limits: conn_idle_s or connect_timeout_s is negative")
	}
	h := fnv.New64a()
	h.Write([]byte(file.Seed)) // the seed may have any form: hash all of it
	cfg.Seed = h.Sum64()
	return cfg, nil
}

// CheckLocalSettings checks the settings of this program against the classes in the settings of the platform.
func (cfg *Config) CheckLocalSettings() error {
	for i, c := range cfg.LocalSettings.Bodies.Classes {
		if !slices.ContainsFunc(cfg.Settings.Policy.Classes, func(k policy.Class) bool { return k.Name == c.Name }) {
			return fmt.Errorf("bodies.class[%d].name: the service has no class %q", i, c.Name)
		}
	}
	for i, m := range cfg.LocalSettings.JSONRPC.Methods {
		class := slices.IndexFunc(cfg.Settings.Policy.Classes, func(k policy.Class) bool { return k.Name == m.Class })
		switch {
		case class < 0:
			return fmt.Errorf("jsonrpc.method[%d].class: the service has no class %q", i, m.Class)
		case cfg.Settings.Policy.Classes[class].Effect == policy.Keyed && m.Key == "":
			return fmt.Errorf("jsonrpc.method[%d].key: requests of class %q may be retried by their idempotency key: set the JSON pointer to it", i, m.Class)
		case m.ClientTimeout == 0 && cfg.Settings.Policy.Classes[class].Deadline <= 0:
			return fmt.Errorf("jsonrpc.method[%d].patience: class %q has no deadline: set a client timeout", i, m.Class)
		}
	}
	return nil
}
