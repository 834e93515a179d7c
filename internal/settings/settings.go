// Package settings reads the node's own file, deploy/craneglade.toml by custom, which serve --config names. What it holds
// is off where there is no file: the platform's configuration alone is what PROTOCOL and DEPLOY describe.
package settings

import (
	"fmt"
	"os"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/tomlfile"
)

// File is all that the file may hold.
type File struct {
	Bodies Bodies `toml:"bodies"`
}

// Bodies say how long bodies are kept for a second attempt, and how large they may be.
type Bodies struct {
	Memory  tomlfile.Size `toml:"memory"` // all bodies in memory together
	Answer  tomlfile.Size `toml:"answer"` // the largest body of an answer; over 64 KiB it is streamed, and may break off
	Disk    Disk          `toml:"disk"`
	Classes []Class       `toml:"class"`
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
	Name   string        `toml:"name"`
	Most   tomlfile.Size `toml:"most"`   // a larger one is turned away with 413
	Memory tomlfile.Size `toml:"memory"` // a larger one is not kept in memory
	Disk   bool          `toml:"disk"`   // may be kept on disk
	Once   bool          `toml:"once"`   // may be streamed without being kept: such a request gets no second attempt
}

// The defaults of what a file leaves out.
const (
	DefaultBody     = 64 << 10 // PROTOCOL's largest body
	defaultWorkers  = 4
	defaultDeadline = 20 * time.Millisecond
	largest         = 1 << 30
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
	case f.Bodies.Answer > largest:
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
	seen := map[string]bool{}
	for i := range f.Bodies.Classes {
		c, p := &f.Bodies.Classes[i], fmt.Sprintf("bodies.class[%d].", i)
		if !keys.Has(p + "most") {
			c.Most = DefaultBody
		}
		if !keys.Has(p + "memory") {
			c.Memory = min(c.Most, DefaultBody)
		}
		switch {
		case c.Name == "" || seen[c.Name]:
			return nil, keys.Problem(p+"name", "%q is empty or there twice", c.Name)
		case c.Most > largest:
			return nil, keys.Problem(p+"most", "it is over 1GiB")
		case c.Memory > c.Most:
			return nil, keys.Problem(p+"memory", "it is over most")
		case c.Disk && d.Folder == "":
			return nil, keys.Problem(p+"disk", "it needs bodies.disk.folder")
		case c.Memory < c.Most && !c.Disk && !c.Once:
			return nil, keys.Problem(p+"most", "bodies over memory have no tier: allow disk or once")
		}
		seen[c.Name] = true
	}
	return f, nil
}
