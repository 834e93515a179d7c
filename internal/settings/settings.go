// Package settings reads the node's own file, deploy/craneglade.toml by custom, which serve --config names. What it holds
// is off where there is no file: the platform's configuration alone is what PROTOCOL and DEPLOY describe.
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

// File is all that the file may hold.
type File struct {
	Bodies  Bodies  `toml:"bodies"`
	JSONRPC JSONRPC `toml:"jsonrpc"`
	DNS     DNS     `toml:"dns"`
	Fleet   Fleet   `toml:"fleet"`
	Sites   Sites   `toml:"sites"`
	Control Control `toml:"control"`
}

// DNS is a second source of boxes beside the list. Without a site there is none.
type DNS struct {
	Servers     []string          `toml:"servers"` // host:port, UDP and TCP
	Timeout     tomlfile.Duration `toml:"timeout"` // for each question to each server
	HoldTime    tomlfile.Duration `toml:"hold"`    // a source that was silent for so long loses its say
	FlapBackoff tomlfile.Duration `toml:"calm"`    // how long a box that comes and goes stays out at first
	Sites       []Site            `toml:"site"`
}

// Site is one SRV name, whose targets are the boxes of a zone.
type Site struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
}

// JSONRPC is the second front. Without an address there is none.
type JSONRPC struct {
	Listen       string            `toml:"listen"`
	Inflight     int               `toml:"inflight"` // open calls on one connection of a client
	Batch        int               `toml:"batch"`    // members of a batch
	BackendConns int               `toml:"conns"`    // connections to a box
	Idle         tomlfile.Duration `toml:"idle"`     // a client's connection with no open call is closed after this
	SendMetadata bool              `toml:"beside"`   // boxes are told id, deadline, key and tenant in a member of the node's own
	Methods      []Method          `toml:"method"`
}

// Method maps one JSON-RPC method to a class. Pointers are RFC 6901's, into the call's params.
type Method struct {
	Name          string            `toml:"name"`
	Class         string            `toml:"class"`
	ClientTimeout tomlfile.Duration `toml:"patience"` // of a call that tells none
	Tenant        string            `toml:"tenant"`
	Key           string            `toml:"key"`      // idempotency key; a class that may go again by its key needs one
	Deadline      string            `toml:"deadline"` // milliseconds
}

// Bodies say how long bodies are kept for a second attempt, and how large they may be.
type Bodies struct {
	Memory    tomlfile.Size `toml:"memory"` // all bodies in memory together
	MaxAnswer tomlfile.Size `toml:"answer"` // the largest body of an answer; over 64 KiB it is streamed, and may break off
	Disk      Disk          `toml:"disk"`
	Classes   []Class       `toml:"class"`
}

// Disk is the tier behind memory. Without a folder there is none.
type Disk struct {
	Folder   string            `toml:"folder"`
	Total    tomlfile.Size     `toml:"total"`
	Workers  int               `toml:"workers"`  // calls to the file system at a time
	Deadline tomlfile.Duration `toml:"deadline"` // for each call; a body whose call is late goes to the next tier
}

// Class is what the bodies of one class of requests may be.
type Class struct {
	Name        string        `toml:"name"`
	MaxSize     tomlfile.Size `toml:"most"`   // a larger one is turned away with 413
	MaxInMemory tomlfile.Size `toml:"memory"` // a larger one is not kept in memory
	AllowDisk   bool          `toml:"disk"`   // may be kept on disk
	AllowStream bool          `toml:"once"`   // may be streamed without being kept: such a request gets no second attempt
}

// The defaults of what a file leaves out.
const (
	DefaultMaxBodyBytes = 64 << 10 // PROTOCOL's largest body
	defaultWorkers      = 4
	defaultDeadline     = 20 * time.Millisecond
	largest             = 1 << 30
)

// Load reads a file and checks it whole. An error is one line that names file, line and key.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is Load for text; file is its name for errors.
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
	case f.Bodies.MaxAnswer > largest:
		return nil, keys.Problem("bodies.answer", "it is over 1GiB")
	case d.Folder == "" && d.Total > 0:
		return nil, keys.Problem("bodies.disk.total", "it needs bodies.disk.folder")
	case d.Folder != "" && d.Total == 0:
		return nil, keys.Problem("bodies.disk.folder", "it needs bodies.disk.total")
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
		return nil, keys.Problem("fleet.use", "crossing needs a plan: [[sites.site]]")
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
			return nil, keys.Problem(p+"name", "%q is empty or there twice", c.Name)
		case c.MaxSize > largest:
			return nil, keys.Problem(p+"most", "it is over 1GiB")
		case c.MaxInMemory > c.MaxSize:
			return nil, keys.Problem(p+"memory", "it is over most")
		case c.AllowDisk && d.Folder == "":
			return nil, keys.Problem(p+"disk", "it needs bodies.disk.folder")
		case c.MaxInMemory < c.MaxSize && !c.AllowDisk && !c.AllowStream:
			return nil, keys.Problem(p+"most", "bodies over memory have no tier: allow disk or once")
		}
		seen[c.Name] = true
	}
	return f, nil
}

const (
	defaultInflight = 64
	defaultBatch    = 1000
	defaultConns    = 4
	maxConns        = 76 // a box's limit, by PROTOCOL
	defaultIdle     = 5 * time.Minute
)

// check fills in what is left out and says what is wrong.
func (j *JSONRPC) check(keys *tomlfile.Keys) error {
	if j.Listen == "" {
		if len(j.Methods) > 0 || keys.Has("jsonrpc.inflight") || keys.Has("jsonrpc.batch") || keys.Has("jsonrpc.conns") {
			return keys.Problem("jsonrpc.listen", "it is missing, and the rest of jsonrpc does nothing without it")
		}
		return nil
	}
	for _, d := range []struct {
		key   string
		value *int
		usual int
		most  int
	}{{"inflight", &j.Inflight, defaultInflight, 10000}, {"batch", &j.Batch, defaultBatch, 10000}, {"conns", &j.BackendConns, defaultConns, maxConns}} {
		if !keys.Has("jsonrpc." + d.key) {
			*d.value = d.usual
		}
		if *d.value < 1 || *d.value > d.most {
			return keys.Problem("jsonrpc."+d.key, "%d is outside 1 to %d", *d.value, d.most)
		}
	}
	if !keys.Has("jsonrpc.idle") {
		j.Idle = tomlfile.Duration(defaultIdle)
	}
	if _, _, err := net.SplitHostPort(j.Listen); err != nil {
		return keys.Problem("jsonrpc.listen", "%q is not host:port", j.Listen)
	}
	if j.Idle.D() < 2*time.Second {
		return keys.Problem("jsonrpc.idle", "%v is under 2s", j.Idle.D())
	}
	seen := map[string]bool{}
	for i, m := range j.Methods {
		p := fmt.Sprintf("jsonrpc.method[%d].", i)
		if m.Name == "" || seen[m.Name] {
			return keys.Problem(p+"name", "%q is empty or there twice", m.Name)
		}
		seen[m.Name] = true
		if m.Class == "" {
			return keys.Problem(p+"class", "it is missing")
		}
		for _, at := range []struct{ key, pointer string }{{"tenant", m.Tenant}, {"key", m.Key}, {"deadline", m.Deadline}} {
			if at.pointer != "" && !jsontext.Pointer(at.pointer).IsValid() {
				return keys.Problem(p+at.key, "%q is no JSON pointer (RFC 6901): it begins with /", at.pointer)
			}
		}
	}
	if len(j.Methods) == 0 {
		return keys.Problem("jsonrpc.method", "none is named: every call would be told that there is no such method")
	}
	return nil
}
