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

// Fleet is where a running node says what it knows, and whom it shares state with. Without a socket it says so nowhere;
// without an address to listen on it shares nothing.
type Fleet struct {
	Socket           string            `toml:"socket"`    // the path of a Unix socket, which the node makes
	Listen           string            `toml:"listen"`    // host:port of an IP address, UDP and TCP
	Advertise        string            `toml:"advertise"` // where others reach it, if that is another address
	Seeds            []string          `toml:"seeds"`     // addresses of some members, any that answers will do
	Cluster          string            `toml:"cluster"`   // what members have in common: those of another one are refused
	KeyFile          string            `toml:"key_file"`  // a file with a key of 16, 24 or 32 bytes in hexadecimal, or several: the first writes, all read
	Use              []string          `toml:"use"`       // what the shared state is used for; without it quotas
	BytesPerSecond   tomlfile.Size     `toml:"bytes"`     // a second that this node sends at most
	MaxDatagramBytes int               `toml:"datagram"`  // bytes of the largest datagram
	Audit            string            `toml:"audit"`     // a file to which each change of what may be spent is written, for rehearsals
	Skew             []Skew            `toml:"skew"`      // sets the clock by which this node shares state wrong, for rehearsals
	Keys             [][]byte          `toml:"-"`         // what key_file holds
	Features         shared.Use        `toml:"-"`         // what use names
	LeaveTimeout     tomlfile.Duration `toml:"leave"`     // how long a node that ends takes to say so
}

// Skew sets a clock by so much, at a moment after the start.
type Skew struct {
	At tomlfile.Duration `toml:"at"`
	By float64           `toml:"by"` // seconds; negative for back
}

// The defaults of what a file leaves out.
const (
	DefaultBytesPerSecond = 64 << 10 // a second
	defaultDatagram       = 1400
	defaultLeave          = 200 * time.Millisecond
	leastDatagram         = 256
)

// ParseUse reads what shared state is used for: quotas, escrow and ejections, or nothing.
func ParseUse(names []string) (shared.Use, error) {
	var u shared.Use
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

// check fills in what is left out and says what is wrong.
func (f *Fleet) check(keys *tomlfile.Keys) (err error) {
	if p := f.Socket; p != "" {
		if _, _, err := reach.Network("unix:" + p); err != nil {
			return keys.Problem("fleet.socket", "%q is not a path from / of at most 107 bytes", p)
		}
	}
	if f.Listen == "" {
		for _, k := range []string{"advertise", "seeds", "cluster", "key_file", "use", "bytes", "datagram", "audit", "skew", "leave"} {
			if keys.Has("fleet." + k) {
				return keys.Problem("fleet.listen", "it is missing, and fleet.%s does nothing without it", k)
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
	f.Features = shared.Use{Quotas: true}
	if keys.Has("fleet.use") {
		if f.Features, err = ParseUse(f.Use); err != nil {
			return keys.Problem("fleet.use", "%v", err)
		}
	}
	if !keys.Has("fleet.bytes") {
		f.BytesPerSecond = DefaultBytesPerSecond
	}
	if !keys.Has("fleet.datagram") {
		f.MaxDatagramBytes = defaultDatagram
	}
	if !keys.Has("fleet.leave") {
		f.LeaveTimeout = tomlfile.Duration(defaultLeave)
	}
	switch {
	case f.BytesPerSecond < 1<<10 || f.BytesPerSecond > 1<<30:
		return keys.Problem("fleet.bytes", "%d is outside 1KiB to 1GiB a second", f.BytesPerSecond)
	case f.MaxDatagramBytes < leastDatagram || f.MaxDatagramBytes > 65000:
		return keys.Problem("fleet.datagram", "%d is outside %d to 65000 bytes", f.MaxDatagramBytes, leastDatagram)
	case f.LeaveTimeout < 0 || f.LeaveTimeout.D() > 10*time.Second:
		return keys.Problem("fleet.leave", "%v is outside 0s to 10s", f.LeaveTimeout.D())
	}
	return nil
}

// checkAddress says what is wrong with the address of a process of this fleet.
func checkAddress(keys *tomlfile.Keys, key, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return keys.Problem(key, "%q is not an IP address and a port, such as 127.0.0.1:7946", addr)
	}
	return nil
}

// checkCluster checks the cluster's name and reads the keys of the table that prefix names.
func checkCluster(keys *tomlfile.Keys, prefix, cluster, keyFile string) ([][]byte, error) {
	if cluster == "" || len(cluster) > 255 {
		return nil, keys.Problem(prefix+"cluster", "%q: give all nodes of this fleet, and no other's, one name of 1 to 255 bytes", cluster)
	}
	if keyFile == "" {
		return nil, keys.Problem(prefix+"key_file", "it is missing: name a file with a key of 16, 24 or 32 bytes in hexadecimal")
	}
	all, err := readKeys(keyFile)
	if err != nil {
		return nil, keys.Problem(prefix+"key_file", "%v", err)
	}
	return all, nil
}

func readKeys(path string) (all [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Fields(string(text)) {
		k, err := hex.DecodeString(line)
		if n := len(k); err != nil || n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: key %d is not 16, 24 or 32 bytes in hexadecimal", path, i+1) // it is not shown: a log is no place for it
		}
		all = append(all, k)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: there is no key in it", path)
	}
	return all, nil
}
