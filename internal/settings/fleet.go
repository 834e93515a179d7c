package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"craneglade/internal/reach"
	"craneglade/internal/shared"
	"craneglade/internal/tomlfile"
)

// Fleet configures the socket on which a node reports its state and the nodes with which it shares state. Without a
// socket it reports nothing; without an address to listen on it shares nothing.
type Fleet struct {
	Socket           string            `toml:"socket"`    // path of a Unix socket, which the node creates
	Listen           string            `toml:"listen"`    // IP address and port, for UDP and TCP
	Advertise        string            `toml:"advertise"` // address at which others reach it, if different
	Seeds            []string          `toml:"seeds"`     // addresses of some members; one that responds is enough
	Cluster          string            `toml:"cluster"`   // name of the cluster; members of another one are refused
	KeyFile          string            `toml:"key_file"`  // file with keys of 16, 24 or 32 bytes in hexadecimal; the first encrypts, all decrypt
	Use              []string          `toml:"use"`       // what the shared state is used for; by default quotas
	BytesPerSecond   tomlfile.Size     `toml:"bytes"`     // maximum per second that this node sends
	MaxDatagramBytes int               `toml:"datagram"`  // size of the largest datagram
	Audit            string            `toml:"audit"`     // file that records each change of a spendable budget, for test runs
	Skew             []Skew            `toml:"skew"`      // offsets of the clock used for shared state, for test runs
	Keys             [][]byte          `toml:"-"`         // read from key_file
	Features         shared.Features   `toml:"-"`         // parsed from use
	LeaveTimeout     tomlfile.Duration `toml:"leave"`     // how long a node that shuts down announces that it leaves
}

// Skew shifts a clock by an offset, at a time after the start.
type Skew struct {
	At tomlfile.Duration `toml:"at"`
	By float64           `toml:"by"` // seconds, may be negative
}

// Defaults and limits.
const (
	DefaultBytesPerSecond   = 64 << 10 // default of Fleet.BytesPerSecond
	defaultMaxDatagramBytes = 1400
	defaultLeaveTimeout     = 200 * time.Millisecond
	minDatagramBytes        = 256
)

// ParseFeatures parses what shared state is used for: quotas, escrow, ejections and crossing, or nothing.
func ParseFeatures(names []string) (shared.Features, error) {
	var u shared.Features
	for _, name := range names {
		switch strings.TrimSpace(name) {
		case "quotas":
			u.Quotas = true
		case "escrow":
			u.Escrow = true
		case "ejections":
			u.Ejections = true
		case "crossing":
			u.Crossing = true
		case "nothing":
		default:
			return u, fmt.Errorf("%q is none of quotas, escrow, ejections, crossing and nothing", name)
		}
	}
	return u, nil
}

// check sets defaults and returns an error for an invalid setting.
func (f *Fleet) check(keys *tomlfile.Keys) (err error) {
	if p := f.Socket; p != "" {
		if _, _, err := reach.Network("unix:" + p); err != nil {
			return keys.Problem("fleet.socket", "%q is not an absolute path of at most 107 bytes", p)
		}
	}
	if f.Listen == "" {
		for _, k := range []string{"advertise", "seeds", "cluster", "key_file", "use", "bytes", "datagram", "audit", "skew", "leave"} {
			if keys.Has("fleet." + k) {
				return keys.Problem("fleet.listen", "missing, and fleet.%s has no effect without it", k)
			}
		}
		return nil
	}
	if err := checkAddress(keys, "fleet.listen", f.Listen); err != nil {
		return err
	}
	if f.Advertise == "" {
		f.Advertise = f.Listen
	}
	if err := checkAddress(keys, "fleet.advertise", f.Advertise); err != nil {
		return err
	}
	for _, s := range f.Seeds {
		if err := checkAddress(keys, "fleet.seeds", s); err != nil {
			return err
		}
	}
	if f.Keys, err = checkCluster(keys, "fleet.", f.Cluster, f.KeyFile); err != nil {
		return err
	}
	f.Features = shared.Features{Quotas: true}
	if keys.Has("fleet.use") {
		if f.Features, err = ParseFeatures(f.Use); err != nil {
			return keys.Problem("fleet.use", "%v", err)
		}
	}
	if !keys.Has("fleet.bytes") {
		f.BytesPerSecond = DefaultBytesPerSecond
	}
	if !keys.Has("fleet.datagram") {
		f.MaxDatagramBytes = defaultMaxDatagramBytes
	}
	if !keys.Has("fleet.leave") {
		f.LeaveTimeout = tomlfile.Duration(defaultLeaveTimeout)
	}
	switch {
	case f.BytesPerSecond < 1<<10 || f.BytesPerSecond > 1<<30:
		return keys.Problem("fleet.bytes", "%d is outside 1KiB to 1GiB a second", f.BytesPerSecond)
	case f.MaxDatagramBytes < minDatagramBytes || f.MaxDatagramBytes > 65000:
		return keys.Problem("fleet.datagram", "%d is outside %d to 65000 bytes", f.MaxDatagramBytes, minDatagramBytes)
	case f.LeaveTimeout < 0 || f.LeaveTimeout.D() > 10*time.Second:
		return keys.Problem("fleet.leave", "%v is outside 0s to 10s", f.LeaveTimeout.D())
	}
	return nil
}

// checkAddress returns an error if addr is not an IP address and a port.
func checkAddress(keys *tomlfile.Keys, key, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return keys.Problem(key, "%q is not an IP address and a port, such as 127.0.0.1:7946", addr)
	}
	return nil
}

// checkCluster checks the cluster name and reads the key file. prefix is the table of both, with a final dot.
func checkCluster(keys *tomlfile.Keys, prefix, cluster, keyFile string) ([][]byte, error) {
	if cluster == "" || len(cluster) > 255 {
		return nil, keys.Problem(prefix+"cluster", "%q: give all nodes of this fleet one name of 1 to 255 bytes that no other fleet has", cluster)
	}
	if keyFile == "" {
		return nil, keys.Problem(prefix+"key_file", "missing: give a file with a key of 16, 24 or 32 bytes in hexadecimal")
	}
	all, err := readKeys(keyFile)
	if err != nil {
		return nil, keys.Problem(prefix+"key_file", "%v", err)
	}
	return all, nil
}

// readKeys reads a file of keys in hexadecimal, separated by white space.
func readKeys(path string) (all [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Fields(string(text)) {
		k, err := hex.DecodeString(line)
		if n := len(k); err != nil || n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: key %d is not 16, 24 or 32 bytes in hexadecimal", path, i+1) // without the key, which must not get into a log
		}
		all = append(all, k)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: contains no key", path)
	}
	return all, nil
}
