// Package settings reads the node's settings file, which serve --config names (deploy/craneglade.toml is the example),
// and the settings file of control plane processes. Everything in the node's file is off without the file: PROTOCOL and
// DEPLOY describe the platform's configuration alone.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/bodies"
	"craneglade/internal/tomlfile"
)

// File is the contents of the settings file.
type File struct {
	Bodies  Bodies  `toml:"bodies"`
	JSONRPC JSONRPC `toml:"jsonrpc"`
	DNS     DNS     `toml:"dns"`
	Fleet   Fleet   `toml:"fleet"`
	Sites   Sites   `toml:"sites"`
	Control Control `toml:"control"`
}

// DNS configures DNS as a second source of backends beside the list. Without a site it is off.
type DNS struct {
	Servers       []string          `toml:"servers"` // IP address and port, for UDP and TCP
	Timeout       tomlfile.Duration `toml:"timeout"` // of each query to each server
	SourceTimeout tomlfile.Duration `toml:"hold"`    // time without an update after which a source loses its vote
	FlapPenalty   tomlfile.Duration `toml:"calm"`    // how long a flapping backend stays out at first, doubled each time
	Sites         []Site            `toml:"site"`
}

// Site is an SRV name, whose targets are the backends of a zone.
type Site struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
}

// JSONRPC configures the JSON-RPC front. Without an address it is off.
type JSONRPC struct {
	Listen             string            `toml:"listen"`
	MaxInflight        int               `toml:"inflight"` // maximum calls in flight on a client connection
	MaxBatch           int               `toml:"batch"`    // maximum calls in a batch
	MaxConnsPerBackend int               `toml:"conns"`    // connections per backend
	IdleTimeout        tomlfile.Duration `toml:"idle"`     // after which a client connection with no call in flight is closed
	SendMetadata       bool              `toml:"beside"`   // send id, deadline, key and tenant to backends in an additional member
	Methods            []Method          `toml:"method"`
}

// Method maps a JSON-RPC method to a class. Tenant, Key and Deadline are JSON pointers (RFC 6901) into the call's
// params.
type Method struct {
	Name          string            `toml:"name"`
	Class         string            `toml:"class"`
	ClientTimeout tomlfile.Duration `toml:"patience"` // of a call without a deadline
	Tenant        string            `toml:"tenant"`
	Key           string            `toml:"key"`      // idempotency key, required if the class is retried by key
	Deadline      string            `toml:"deadline"` // milliseconds
}

// Bodies configures where request bodies are kept for a second attempt, and how large bodies may be.
type Bodies struct {
	Memory    tomlfile.Size `toml:"memory"` // total of all bodies in memory
	MaxAnswer tomlfile.Size `toml:"answer"` // largest response body; above 64 KiB it is streamed, and may be cut short
	Disk      Disk          `toml:"disk"`
	Classes   []Class       `toml:"class"`
}

// Disk configures the disk tier of bodies. Without a folder it is off.
type Disk struct {
	Folder   string            `toml:"folder"`
	Total    tomlfile.Size     `toml:"total"`
	Workers  int               `toml:"workers"`  // concurrent calls to the file system
	Deadline tomlfile.Duration `toml:"deadline"` // of each call; a body whose call times out goes to the next tier
}

// Class configures the bodies of one class of requests.
type Class struct {
	Name        string        `toml:"name"`
	MaxSize     tomlfile.Size `toml:"most"`   // a larger body is rejected with 413
	MaxInMemory tomlfile.Size `toml:"memory"` // a larger body is not kept in memory
	AllowDisk   bool          `toml:"disk"`   // a body may be kept on disk
	AllowStream bool          `toml:"once"`   // a body may be streamed without being kept; its request gets no second attempt
}

// Defaults and limits of the node's file.
const (
	DefaultMaxBodyBytes = 64 << 10 // the largest body of PROTOCOL
	defaultWorkers      = 4
	defaultDeadline     = 20 * time.Millisecond
	maxBodyBytes        = 1 << 30
)

// Load reads and checks a settings file. An error is one line that names file, line and key.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is like Load for text. file is the name used in errors.
func Parse(file string, text []byte) (*File, error) {
	f := &File{}
	keys, err := tomlfile.Decode(file, text, f)
	if err != nil {
		return nil, err
	}
	d := &f.Bodies.Disk
	if !keys.Has("bodies.disk.workers") {
		d.Workers = defaultWorkers
	}
	if !keys.Has("bodies.disk.deadline") {
		d.Deadline = tomlfile.Duration(defaultDeadline)
	}
	switch {
	case d.Workers < 1 || d.Workers > 64:
		return nil, keys.Problem("bodies.disk.workers", "%d is outside 1 to 64", d.Workers)
	case d.Deadline.D() < time.Millisecond || d.Deadline.D() > 10*time.Second:
		return nil, keys.Problem("bodies.disk.deadline", "%v is outside 1ms to 10s", d.Deadline)
	case f.Bodies.MaxAnswer > maxBodyBytes:
		return nil, keys.Problem("bodies.answer", "larger than 1GiB")
	case d.Folder == "" && d.Total > 0:
		return nil, keys.Problem("bodies.disk.total", "requires bodies.disk.folder")
	case d.Folder != "" && d.Total == 0:
		return nil, keys.Problem("bodies.disk.folder", "requires bodies.disk.total")
	}
	if d.Folder != "" {
		if _, err := bodies.NewDir(d.Folder); err != nil {
			return nil, keys.Problem("bodies.disk.folder", "%v", err)
		}
	}
	if err := f.JSONRPC.check(keys); err != nil {
		return nil, err
	}
	if err := f.DNS.check(keys); err != nil {
		return nil, err
	}
	if err := f.Fleet.check(keys); err != nil {
		return nil, err
	}
	if err := f.Sites.check(keys); err != nil {
		return nil, err
	}
	if err := f.Control.check(keys); err != nil {
		return nil, err
	}
	if f.Fleet.Features.Crossing && f.Sites.Plan == nil {
		return nil, keys.Problem("fleet.use", "crossing requires a plan: [[sites.site]]")
	}
	seen := map[string]bool{}
	for i := range f.Bodies.Classes {
		c, p := &f.Bodies.Classes[i], fmt.Sprintf("bodies.class[%d].", i)
		if !keys.Has(p + "most") {
			c.MaxSize = DefaultMaxBodyBytes
		}
		if !keys.Has(p + "memory") {
			c.MaxInMemory = min(c.MaxSize, DefaultMaxBodyBytes)
		}
		switch {
		case c.Name == "" || seen[c.Name]:
			return nil, keys.Problem(p+"name", "%q is empty or a duplicate", c.Name)
		case c.MaxSize > maxBodyBytes:
			return nil, keys.Problem(p+"most", "larger than 1GiB")
		case c.MaxInMemory > c.MaxSize:
			return nil, keys.Problem(p+"memory", "larger than most")
		case c.AllowDisk && d.Folder == "":
			return nil, keys.Problem(p+"disk", "requires bodies.disk.folder")
		case c.MaxInMemory < c.MaxSize && !c.AllowDisk && !c.AllowStream:
			return nil, keys.Problem(p+"most", "bodies larger than memory have no tier: allow disk or once")
		}
		seen[c.Name] = true
	}
	return f, nil
}

const (
	defaultInflightCalls      = 64
	defaultBatchCalls         = 1000
	defaultMaxConnsPerBackend = 4
	backendConnLimit          = 76 // limit of a backend in PROTOCOL
	defaultIdleTimeout        = 5 * time.Minute
)

// check sets defaults and returns an error for an invalid setting.
func (j *JSONRPC) check(keys *tomlfile.Keys) error {
	if j.Listen == "" {
		if len(j.Methods) > 0 || keys.Has("jsonrpc.inflight") || keys.Has("jsonrpc.batch") || keys.Has("jsonrpc.conns") {
			return keys.Problem("jsonrpc.listen", "missing, and the other keys of jsonrpc have no effect without it")
		}
		return nil
	}
	for _, d := range []struct {
		key          string
		value        *int
		defaultValue int
		upper        int
	}{{"inflight", &j.MaxInflight, defaultInflightCalls, 10000}, {"batch", &j.MaxBatch, defaultBatchCalls, 10000}, {"conns", &j.MaxConnsPerBackend, defaultMaxConnsPerBackend, backendConnLimit}} {
		if !keys.Has("jsonrpc." + d.key) {
			*d.value = d.defaultValue
		}
		if *d.value < 1 || *d.value > d.upper {
			return keys.Problem("jsonrpc."+d.key, "%d is outside 1 to %d", *d.value, d.upper)
		}
	}
	if !keys.Has("jsonrpc.idle") {
		j.IdleTimeout = tomlfile.Duration(defaultIdleTimeout)
	}
	if _, _, err := net.SplitHostPort(j.Listen); err != nil {
		return keys.Problem("jsonrpc.listen", "%q is not host:port", j.Listen)
	}
	if j.IdleTimeout.D() < 2*time.Second {
		return keys.Problem("jsonrpc.idle", "%v is less than 2s", j.IdleTimeout.D())
	}
	seen := map[string]bool{}
	for i, m := range j.Methods {
		p := fmt.Sprintf("jsonrpc.method[%d].", i)
		if m.Name == "" || seen[m.Name] {
			return keys.Problem(p+"name", "%q is empty or a duplicate", m.Name)
		}
		seen[m.Name] = true
		if m.Class == "" {
			return keys.Problem(p+"class", "missing")
		}
		for _, at := range []struct{ key, pointer string }{{"tenant", m.Tenant}, {"key", m.Key}, {"deadline", m.Deadline}} {
			if at.pointer != "" && !jsontext.Pointer(at.pointer).IsValid() {
				return keys.Problem(p+at.key, "%q is not a JSON pointer (RFC 6901), which begins with /", at.pointer)
			}
		}
	}
	if len(j.Methods) == 0 {
		return keys.Problem("jsonrpc.method", "missing: every call would fail with an unknown method")
	}
	return nil
}
