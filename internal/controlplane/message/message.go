// Package message defines what the processes of the control plane tell each other. A session between a subscriber (a node,
// a relay or a control process) and a publisher (its parent) carries the logs of all regions; each message names the region
// whose log it is about.
//
// There is no I/O, clock or goroutine here.
package message

import (
	"time"

	"craneglade/internal/controlplane/resource"
)

// Message is one of Subscribe, SnapshotPart, Delta, Heartbeat, Acknowledge and Busy.
type Message interface{ RegionName() string }

// Subscribe asks a parent for the log of a region, from the position that the subscriber has. A later one on the same
// session replaces the subscription.
type Subscribe struct {
	Region   string
	All      bool              // every service: relays and control processes
	Services []string          // sorted; the services that the subscriber serves, where All is false
	Have     resource.Position // zero for nothing
	Digest   Digest            // of the resources that the subscriber has, within the subscription
	Standby  bool              // heartbeats only: the subscriber keeps this parent for the case that its other one fails
}

// Digest is the sum, modulo 2^64, of the hashes of a set of resources, whatever their order.
type Digest uint64

// SnapshotPart is a piece of all that a subscription holds at one position. A snapshot is taken in whole with its last
// part, or not at all.
type SnapshotPart struct {
	Region    string
	Position  resource.Position
	Index     uint32 // from 0, in order
	Last      bool
	Resources []resource.Resource
	Digest    Digest // of the whole snapshot; in the last part
}

// Delta is what changed within a subscription after one position and up to another. It applies to no state but that of
// From exactly.
type Delta struct {
	Region  string
	From    resource.Position
	To      resource.Position
	Changes []resource.Change
	Digest  Digest // of the subscription's resources at To
}

// Heartbeat tells that a log has not moved, or how far it has. Age is how long ago the writer was known to stand there, by
// the sum of the delays on the way, each measured on one clock.
type Heartbeat struct {
	Region   string
	Position resource.Position // that the parent has
	Sent     resource.Position // up to which the subscriber was sent what it subscribes to
	Digest   Digest            // of the subscription's resources at Sent
	Age      time.Duration
}

// Acknowledge tells a parent what its subscriber has in force, or what it could not take.
type Acknowledge struct {
	Region   string
	Position resource.Position
	Refused  string // one line that names the resource and the field; "" where the position is in force
}

// Busy tells a subscriber that its parent starts no further snapshot now.
type Busy struct {
	Region     string
	RetryAfter time.Duration
}

// RegionName is the region whose log the message is about.
func (m *Subscribe) RegionName() string { return m.Region }

// RegionName is the region whose log the message is about.
func (m *SnapshotPart) RegionName() string { return m.Region }

// RegionName is the region whose log the message is about.
func (m *Delta) RegionName() string { return m.Region }

// RegionName is the region whose log the message is about.
func (m *Heartbeat) RegionName() string { return m.Region }

// RegionName is the region whose log the message is about.
func (m *Acknowledge) RegionName() string { return m.Region }

// RegionName is the region whose log the message is about.
func (m *Busy) RegionName() string { return m.Region }
