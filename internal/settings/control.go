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

// Control says from where a node takes the configuration and the endpoints of its service, in place of discovery. Without
// a service there is no control plane for it.
type Control struct {
	Services       []string          `toml:"services"` // that this node serves: one, for now
	Region         string            `toml:"region"`   // the home region of the service
	Cluster        string            `toml:"cluster"`  // as fleet.cluster
	KeyFile        string            `toml:"key_file"` // as fleet.key_file
	BytesPerSecond tomlfile.Size     `toml:"bytes"`    // a second that this node sends to its parents at most
	ParentTimeout  tomlfile.Duration `toml:"silence"`  // after which a parent is given up; several of its heartbeats
	Parents        []Parent          `toml:"parent"`   // relays, or control processes where there are none
	Keys           [][]byte          `toml:"-"`        // what key_file holds
}

// Parent is a process that serves logs to others.
type Parent struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // an IP address and a port
	Zone    string `toml:"zone"`
}

// Limits of the control plane's settings.
const (
	defaultControlBytes      = 8 << 10 // a second
	minControlBytes          = 1 << 10
	maxControlBytes          = 1 << 30
	maxNameBytes             = resource.MaxNameBytes
	maxParents               = 64
	defaultHeartbeat         = time.Second
	defaultSilence           = 3 * time.Second
	defaultLog               = 16 << 20
	minLog                   = 64 << 10
	minSilence               = 200 * time.Millisecond
	maxSilence               = time.Minute
	defaultServedBytes       = 8 << 20 // a second, to all subscribers together
	defaultServedSnapshots   = 64
	defaultServedSubscribers = 1000
	maxServedSubscribers     = 10000
)

// On tells whether the control plane is used.
func (c *Control) On() bool { return len(c.Services) > 0 }

// check fills in what is left out and says what is wrong.
func (c *Control) check(keys *tomlfile.Keys) (err error) {
	if !c.On() {
		for _, k := range []string{"region", "cluster", "key_file", "bytes", "silence", "parent[0]"} {
			if keys.Has("control." + k) {
				return keys.Problem("control.services", "it is missing, and control.%s does nothing without it", k)
			}
		}
		return nil
	}
	if len(c.Services) > 1 {
		return keys.Problem("control.services", "%d are named, and a process serves one service", len(c.Services))
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
		c.BytesPerSecond = defaultControlBytes
	}
	if err := checkBytes(keys, "control.bytes", c.BytesPerSecond); err != nil {
		return err
	}
	if c.ParentTimeout, err = checkSilence(keys, "control.silence", c.ParentTimeout); err != nil {
		return err
	}
	if len(c.Parents) == 0 {
		return keys.Problem("control.parent", "none is named: give name, address and zone of two or more in [[control.parent]]")
	}
	return checkParents(keys, "control.parent", c.Parents)
}

func checkName(keys *tomlfile.Keys, key, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return keys.Problem(key, "%q is not a name of 1 to %d bytes", name, maxNameBytes)
	}
	return nil
}

// checkSilence returns how long a parent may be silent: value, or the default where the file names none.
func checkSilence(keys *tomlfile.Keys, key string, value tomlfile.Duration) (tomlfile.Duration, error) {
	if !keys.Has(key) {
		return tomlfile.Duration(defaultSilence), nil
	}
	if value.D() < minSilence || value.D() > maxSilence {
		return 0, keys.Problem(key, "%v is outside %v to %v", value, minSilence, maxSilence)
	}
	return value, nil
}

func checkBytes(keys *tomlfile.Keys, key string, size tomlfile.Size) error {
	if size < minControlBytes || size > maxControlBytes {
		return keys.Problem(key, "%d is outside 1KiB to 1GiB a second", size)
	}
	return nil
}

// checkParents checks the entries of the array of tables that key names.
func checkParents(keys *tomlfile.Keys, key string, parents []Parent) error {
	if len(parents) > maxParents {
		return keys.Problem(key, "%d are named, and %d are the most", len(parents), maxParents)
	}
	seen := map[string]bool{}
	for i, p := range parents {
		entry := fmt.Sprintf("%s[%d].", key, i)
		if err := checkName(keys, entry+"name", p.Name); err != nil {
			return err
		}
		if seen[p.Name] {
			return keys.Problem(entry+"name", "%q is there twice", p.Name)
		}
		seen[p.Name] = true
		if err := checkAddress(keys, entry+"address", p.Address); err != nil {
			return err
		}
	}
	return nil
}

// Role is what a process of the control plane does.
type Role string

// The roles.
const (
	RoleWriter Role = "writer" // changes the log of its region, and serves it
	RoleRelay  Role = "relay"  // serves replicas of all logs that it follows
)

// ControlProcess is a process of the control plane, as deploy/control.toml describes it.
type ControlProcess struct {
	Role        Role     `toml:"role"`
	Name        string   `toml:"name"`
	Region      string   `toml:"region"`
	Zone        string   `toml:"zone"`
	Regions     []string `toml:"regions"` // whose logs a relay follows; without it its own region's
	Listen      string   `toml:"listen"`  // an IP address and a port
	Socket      string   `toml:"socket"`  // where operators ask: a Unix socket, which the process makes
	Cluster     string   `toml:"cluster"`
	KeyFile     string   `toml:"key_file"`
	StateDir    string   `toml:"state"`        // a writer's folder, which must exist
	EpochOffset int64    `toml:"epoch_offset"` // added to the epochs of the quorum, for a log that was restored from a backup

	Limits        ControlLimits  `toml:"limits"`
	Members       []Member       `toml:"member"` // the control processes of the region, this one too; without it this one alone
	Parents       []Parent       `toml:"parent"` // control processes of the region, for a relay
	RegionParents []RegionParent `toml:"region_parent"`
	Keys          [][]byte       `toml:"-"` // what key_file holds
}

// Member is one of the control processes of a region, which choose the writer among them by majority.
type Member struct {
	ID      uint64 `toml:"id"` // from 1 on; it stays the member's own for as long as its state folder does
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// RegionParent is a process from which a writer takes the log of another region.
type RegionParent struct {
	Region  string `toml:"region"`
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// ControlLimits bound what a process of the control plane spends on its subscribers.
type ControlLimits struct {
	BytesPerSecond tomlfile.Size     `toml:"bytes"`       // a second that it sends to all subscribers together
	MaxSnapshots   int               `toml:"snapshots"`   // that it sends at a time
	MaxSubscribers int               `toml:"subscribers"` // sessions at a time
	Heartbeat      tomlfile.Duration `toml:"heartbeat"`   // how often each subscriber is told that nothing has changed
	ParentTimeout  tomlfile.Duration `toml:"silence"`     // after which this process gives a parent of its own up
	LogBytes       tomlfile.Size     `toml:"log"`         // that a writer keeps behind a snapshot until it makes another
}

// LoadControlProcess reads the file of a process of the control plane and checks it whole. An error is one line that names
// file, line and key.
func LoadControlProcess(path string) (*ControlProcess, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseControlProcess(path, text)
}

// ParseControlProcess is LoadControlProcess for text; file is its name for errors.
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
			return keys.Problem("state", "it is missing: a writer needs a folder for its log")
		}
		if info, err := os.Stat(c.StateDir); err != nil || !info.IsDir() {
			return keys.Problem("state", "%q is not a folder that is there", c.StateDir)
		}
		if len(c.Parents) > 0 {
			return keys.Problem("parent", "a writer has no parent: name other regions' processes in [[region_parent]]")
		}
		if c.EpochOffset < 0 {
			return keys.Problem("epoch_offset", "%d is negative", c.EpochOffset)
		}
	case RoleRelay:
		for _, k := range []string{"state", "epoch_offset", "member[0]", "region_parent[0]"} {
			if keys.Has(k) {
				return keys.Problem(k, "it is for a writer, and this is a relay")
			}
		}
		if len(c.Parents) == 0 {
			return keys.Problem("parent", "none is named: give name, address and zone of the region's control processes in [[parent]]")
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
		return keys.Problem("regions", "one of them is there twice")
	}
	return nil
}

func (c *ControlProcess) checkAddresses(keys *tomlfile.Keys) error {
	if err := checkAddress(keys, "listen", c.Listen); err != nil {
		return err
	}
	if _, _, err := reach.Network("unix:" + c.Socket); err != nil {
		return keys.Problem("socket", "%q is not a path from / of at most 107 bytes", c.Socket)
	}
	return nil
}

// checkMembers checks the members of the region's quorum. Where none are named this process is the only one.
func (c *ControlProcess) checkMembers(keys *tomlfile.Keys) error {
	if c.Role != RoleWriter {
		return nil
	}
	if len(c.Members) == 0 {
		c.Members = []Member{{ID: 1, Name: c.Name, Address: c.Listen}}
		return nil
	}
	if n := len(c.Members); n != 1 && n != 3 && n != 5 {
		return keys.Problem("member", "%d are named: it takes 1, 3 or 5, this process among them", n)
	}
	ids, names := map[uint64]bool{}, map[string]bool{}
	for i, m := range c.Members {
		entry := fmt.Sprintf("member[%d].", i)
		if m.ID == 0 || ids[m.ID] {
			return keys.Problem(entry+"id", "%d is 0 or there twice", m.ID)
		}
		if err := checkName(keys, entry+"name", m.Name); err != nil {
			return err
		}
		if names[m.Name] {
			return keys.Problem(entry+"name", "%q is there twice", m.Name)
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
		l.BytesPerSecond = defaultServedBytes
	}
	if !keys.Has("limits.snapshots") {
		l.MaxSnapshots = defaultServedSnapshots
	}
	if !keys.Has("limits.subscribers") {
		l.MaxSubscribers = defaultServedSubscribers
	}
	if !keys.Has("limits.heartbeat") {
		l.Heartbeat = tomlfile.Duration(defaultHeartbeat)
	}
	switch {
	case l.MaxSnapshots < 1 || l.MaxSnapshots > maxServedSubscribers:
		return keys.Problem("limits.snapshots", "%d is outside 1 to %d", l.MaxSnapshots, maxServedSubscribers)
	case l.MaxSubscribers < 1 || l.MaxSubscribers > maxServedSubscribers:
		return keys.Problem("limits.subscribers", "%d is outside 1 to %d", l.MaxSubscribers, maxServedSubscribers)
	case l.Heartbeat.D() < 50*time.Millisecond || l.Heartbeat.D() > 10*time.Second:
		return keys.Problem("limits.heartbeat", "%v is outside 50ms to 10s", l.Heartbeat.D())
	}
	if l.ParentTimeout, err = checkSilence(keys, "limits.silence", l.ParentTimeout); err != nil {
		return err
	}
	if !keys.Has("limits.log") {
		l.LogBytes = defaultLog
	}
	if l.LogBytes < minLog || l.LogBytes > maxControlBytes {
		return keys.Problem("limits.log", "%d is outside 64KiB to 1GiB", l.LogBytes)
	}
	return checkBytes(keys, "limits.bytes", l.BytesPerSecond)
}
