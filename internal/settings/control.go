package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"craneglade/internal/controlplane/resource"
	"craneglade/internal/reach"
	"craneglade/internal/tomlfile"
)

// Control configures the control plane as the source of a node's configuration and the endpoints of its service, in
// place of discovery. Without a service the control plane is not used.
type Control struct {
	Services       []string          `toml:"services"` // served by this node; exactly one is supported
	Region         string            `toml:"region"`   // the home region of the service
	Cluster        string            `toml:"cluster"`  // as fleet.cluster
	KeyFile        string            `toml:"key_file"` // as fleet.key_file
	BytesPerSecond tomlfile.Size     `toml:"bytes"`    // maximum per second that this node sends to its parents
	ParentTimeout  tomlfile.Duration `toml:"silence"`  // silence after which the connection to a parent is closed; several of its heartbeats
	Parents        []Parent          `toml:"parent"`   // relays, or control processes if there are no relays
	Keys           [][]byte          `toml:"-"`        // read from key_file
}

// Parent is a process that serves resource logs to others.
type Parent struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // an IP address and a port
	Zone    string `toml:"zone"`
}

// Defaults and limits of the control plane's settings.
const (
	defaultControlBytesPerSecond = 8 << 10
	minControlBytes              = 1 << 10
	maxControlBytes              = 1 << 30
	maxNameBytes                 = resource.MaxNameBytes
	maxParents                   = 64
	defaultHeartbeatInterval     = time.Second
	defaultParentTimeout         = 3 * time.Second
	defaultLogBytes              = 16 << 20
	minLogBytes                  = 64 << 10
	minParentTimeout             = 200 * time.Millisecond
	maxParentTimeout             = time.Minute
	defaultServedBytesPerSecond  = 8 << 20 // for all subscribers together
	defaultServedSnapshots       = 64
	defaultServedSubscribers     = 1000
	maxServedSubscribers         = 10000
)

// On reports whether the control plane is used.
func (c *Control) On() bool { return len(c.Services) > 0 }

// check sets defaults and returns an error for an invalid setting.
func (c *Control) check(keys *tomlfile.Keys) (err error) {
	if !c.On() {
		for _, k := range []string{"region", "cluster", "key_file", "bytes", "silence", "parent[0]"} {
			if keys.Has("control." + k) {
				return keys.Problem("control.services", "missing, and control.%s has no effect without it", k)
			}
		}
		return nil
	}
	if len(c.Services) > 1 {
		return keys.Problem("control.services", "%d services are given, and a process serves only one", len(c.Services))
	}
	if err := checkName(keys, "control.services", c.Services[0]); err != nil {
		return err
	}
	if err := checkName(keys, "control.region", c.Region); err != nil {
		return err
	}
	if c.Keys, err = checkCluster(keys, "control.", c.Cluster, c.KeyFile); err != nil {
		return err
	}
	if !keys.Has("control.bytes") {
		c.BytesPerSecond = defaultControlBytesPerSecond
	}
	if err := checkBytes(keys, "control.bytes", c.BytesPerSecond); err != nil {
		return err
	}
	if c.ParentTimeout, err = checkParentTimeout(keys, "control.silence", c.ParentTimeout); err != nil {
		return err
	}
	if len(c.Parents) == 0 {
		return keys.Problem("control.parent", "missing: give name, address and zone of two or more in [[control.parent]]")
	}
	return checkParents(keys, "control.parent", c.Parents)
}

// checkName returns an error if name is not a valid name.
func checkName(keys *tomlfile.Keys, key, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return keys.Problem(key, "%q is not a name of 1 to %d bytes", name, maxNameBytes)
	}
	return nil
}

// checkParentTimeout returns value, the default if the file does not set key, or an error if value is out of range.
func checkParentTimeout(keys *tomlfile.Keys, key string, value tomlfile.Duration) (tomlfile.Duration, error) {
	if !keys.Has(key) {
		return tomlfile.Duration(defaultParentTimeout), nil
	}
	if value.D() < minParentTimeout || value.D() > maxParentTimeout {
		return 0, keys.Problem(key, "%v is outside %v to %v", value, minParentTimeout, maxParentTimeout)
	}
	return value, nil
}

// checkBytes returns an error if a size per second is out of range.
func checkBytes(keys *tomlfile.Keys, key string, size tomlfile.Size) error {
	if size < minControlBytes || size > maxControlBytes {
		return keys.Problem(key, "%d is outside 1KiB to 1GiB a second", size)
	}
	return nil
}

// checkParents checks the entries of the array of tables at key.
func checkParents(keys *tomlfile.Keys, key string, parents []Parent) error {
	if len(parents) > maxParents {
		return keys.Problem(key, "%d entries exceed the limit of %d", len(parents), maxParents)
	}
	seen := map[string]bool{}
	for i, p := range parents {
		entry := fmt.Sprintf("%s[%d].", key, i)
		if err := checkName(keys, entry+"name", p.Name); err != nil {
			return err
		}
		if seen[p.Name] {
			return keys.Problem(entry+"name", "%q is a duplicate", p.Name)
		}
		seen[p.Name] = true
		if err := checkAddress(keys, entry+"address", p.Address); err != nil {
			return err
		}
	}
	return nil
}

// Role is the role of a control plane process.
type Role string

// The roles.
const (
	RoleWriter Role = "writer" // appends to the log of its region and serves it
	RoleRelay  Role = "relay"  // serves replicas of the logs that it follows
)

// ControlProcess holds the settings of a control plane process; deploy/control.toml is an example.
type ControlProcess struct {
	Role        Role     `toml:"role"`
	Name        string   `toml:"name"`
	Region      string   `toml:"region"`
	Zone        string   `toml:"zone"`
	Regions     []string `toml:"regions"` // whose logs a relay follows; by default only its own region
	Listen      string   `toml:"listen"`  // an IP address and a port
	Socket      string   `toml:"socket"`  // path of the Unix socket for operators, which the process creates
	Cluster     string   `toml:"cluster"`
	KeyFile     string   `toml:"key_file"`
	StateDir    string   `toml:"state"`        // directory of a writer, which must exist
	EpochOffset int64    `toml:"epoch_offset"` // added to the epochs of the quorum, for a log restored from a backup

	Limits        ControlLimits  `toml:"limits"`
	Members       []Member       `toml:"member"` // all control processes of the region, including this one; by default only this one
	Parents       []Parent       `toml:"parent"` // of a relay: control processes of its region
	RegionParents []RegionParent `toml:"region_parent"`
	Keys          [][]byte       `toml:"-"` // read from key_file
}

// Member is one of the control processes of a region, which elect the writer among them by majority.
type Member struct {
	ID      uint64 `toml:"id"` // from 1; must not change while the member's state directory exists
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// RegionParent is a process from which a writer follows the log of another region.
type RegionParent struct {
	Region  string `toml:"region"`
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// ControlLimits limits what a control plane process spends on its subscribers.
type ControlLimits struct {
	BytesPerSecond    tomlfile.Size     `toml:"bytes"`       // maximum per second sent to all subscribers together
	MaxSnapshots      int               `toml:"snapshots"`   // sent at the same time
	MaxSubscribers    int               `toml:"subscribers"` // concurrent sessions
	HeartbeatInterval tomlfile.Duration `toml:"heartbeat"`   // interval of messages to a subscriber while nothing changes
	ParentTimeout     tomlfile.Duration `toml:"silence"`     // silence after which this process closes the connection to a parent of its own
	LogBytes          tomlfile.Size     `toml:"log"`         // size of the log since the last snapshot at which a writer makes another
}

// LoadControlProcess reads and checks the settings file of a control plane process. An error is one line that names
// file, line and key.
func LoadControlProcess(path string) (*ControlProcess, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseControlProcess(path, text)
}

// ParseControlProcess is like LoadControlProcess for text. file is the name used in errors.
func ParseControlProcess(file string, text []byte) (*ControlProcess, error) {
	c := &ControlProcess{}
	keys, err := tomlfile.Decode(file, text, c)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.Keys) error{c.checkRole, c.checkNames, c.checkAddresses, c.checkMembers, c.checkParents, c.Limits.check} {
		if err := check(keys); err != nil {
			return nil, err
		}
	}
	if c.Keys, err = checkCluster(keys, "", c.Cluster, c.KeyFile); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *ControlProcess) checkRole(keys *tomlfile.Keys) error {
	switch c.Role {
	case RoleWriter:
		if c.StateDir == "" {
			return keys.Problem("state", "missing: a writer needs a directory for its log")
		}
		if info, err := os.Stat(c.StateDir); err != nil || !info.IsDir() {
			return keys.Problem("state", "%q is not an existing directory", c.StateDir)
		}
		if len(c.Parents) > 0 {
			return keys.Problem("parent", "a writer has no parent: give other regions' processes in [[region_parent]]")
		}
		if c.EpochOffset < 0 {
			return keys.Problem("epoch_offset", "%d is negative", c.EpochOffset)
		}
	case RoleRelay:
		for _, k := range []string{"state", "epoch_offset", "member[0]", "region_parent[0]"} {
			if keys.Has(k) {
				return keys.Problem(k, "only allowed for a writer, and this is a relay")
			}
		}
		if len(c.Parents) == 0 {
			return keys.Problem("parent", "missing: give name, address and zone of the region's control processes in [[parent]]")
		}
	default:
		return keys.Problem("role", `%q is neither "writer" nor "relay"`, c.Role)
	}
	return nil
}

func (c *ControlProcess) checkNames(keys *tomlfile.Keys) error {
	for _, n := range []struct{ key, value string }{{"name", c.Name}, {"region", c.Region}} {
		if err := checkName(keys, n.key, n.value); err != nil {
			return err
		}
	}
	for _, r := range c.Regions {
		if err := checkName(keys, "regions", r); err != nil {
			return err
		}
	}
	if c.Role == RoleWriter && len(c.Regions) > 0 {
		return keys.Problem("regions", "a writer follows the regions of [[region_parent]]")
	}
	if len(c.Regions) == 0 {
		c.Regions = []string{c.Region}
	}
	if sorted := slices.Sorted(slices.Values(c.Regions)); len(slices.Compact(sorted)) < len(c.Regions) {
		return keys.Problem("regions", "a region is given twice")
	}
	return nil
}

func (c *ControlProcess) checkAddresses(keys *tomlfile.Keys) error {
	if err := checkAddress(keys, "listen", c.Listen); err != nil {
		return err
	}
	if _, _, err := reach.Network("unix:" + c.Socket); err != nil {
		return keys.Problem("socket", "%q is not an absolute path of at most 107 bytes", c.Socket)
	}
	return nil
}

// checkMembers checks the members of the region's quorum. By default this process is the only one.
func (c *ControlProcess) checkMembers(keys *tomlfile.Keys) error {
	if c.Role != RoleWriter {
		return nil
	}
	if len(c.Members) == 0 {
		c.Members = []Member{{ID: 1, Name: c.Name, Address: c.Listen}}
		return nil
	}
	if n := len(c.Members); n != 1 && n != 3 && n != 5 {
		return keys.Problem("member", "%d are given: it takes 1, 3 or 5, including this process", n)
	}
	ids, names := map[uint64]bool{}, map[string]bool{}
	for i, m := range c.Members {
		entry := fmt.Sprintf("member[%d].", i)
		if m.ID == 0 || ids[m.ID] {
			return keys.Problem(entry+"id", "%d is 0 or a duplicate", m.ID)
		}
		if err := checkName(keys, entry+"name", m.Name); err != nil {
			return err
		}
		if names[m.Name] {
			return keys.Problem(entry+"name", "%q is a duplicate", m.Name)
		}
		if err := checkAddress(keys, entry+"address", m.Address); err != nil {
			return err
		}
		ids[m.ID], names[m.Name] = true, true
	}
	if !names[c.Name] {
		return keys.Problem("member", "this process, %q, is not among them", c.Name)
	}
	return nil
}

func (c *ControlProcess) checkParents(keys *tomlfile.Keys) error {
	if err := checkParents(keys, "parent", c.Parents); err != nil {
		return err
	}
	parents := make([]Parent, len(c.RegionParents))
	for i, o := range c.RegionParents {
		if err := checkName(keys, fmt.Sprintf("region_parent[%d].region", i), o.Region); err != nil {
			return err
		}
		if o.Region == c.Region {
			return keys.Problem(fmt.Sprintf("region_parent[%d].region", i), "%q is this writer's own region", o.Region)
		}
		parents[i] = Parent{Name: o.Name, Address: o.Address, Zone: o.Zone}
	}
	return checkParents(keys, "region_parent", parents)
}

func (l *ControlLimits) check(keys *tomlfile.Keys) (err error) {
	if !keys.Has("limits.bytes") {
		l.BytesPerSecond = defaultServedBytesPerSecond
	}
	if !keys.Has("limits.snapshots") {
		l.MaxSnapshots = defaultServedSnapshots
	}
	if !keys.Has("limits.subscribers") {
		l.MaxSubscribers = defaultServedSubscribers
	}
	if !keys.Has("limits.heartbeat") {
		l.HeartbeatInterval = tomlfile.Duration(defaultHeartbeatInterval)
	}
	switch {
	case l.MaxSnapshots < 1 || l.MaxSnapshots > maxServedSubscribers:
		return keys.Problem("limits.snapshots", "%d is outside 1 to %d", l.MaxSnapshots, maxServedSubscribers)
	case l.MaxSubscribers < 1 || l.MaxSubscribers > maxServedSubscribers:
		return keys.Problem("limits.subscribers", "%d is outside 1 to %d", l.MaxSubscribers, maxServedSubscribers)
	case l.HeartbeatInterval.D() < 50*time.Millisecond || l.HeartbeatInterval.D() > 10*time.Second:
		return keys.Problem("limits.heartbeat", "%v is outside 50ms to 10s", l.HeartbeatInterval.D())
	}
	if l.ParentTimeout, err = checkParentTimeout(keys, "limits.silence", l.ParentTimeout); err != nil {
		return err
	}
	if !keys.Has("limits.log") {
		l.LogBytes = defaultLogBytes
	}
	if l.LogBytes < minLogBytes || l.LogBytes > maxControlBytes {
		return keys.Problem("limits.log", "%d is outside 64KiB to 1GiB", l.LogBytes)
	}
	return checkBytes(keys, "limits.bytes", l.BytesPerSecond)
}
