// Package message defines the messages between the processes of the control plane and their encoding. A session between a
// subscriber (a node, a relay or a control process) and a publisher (its parent) carries the logs of all regions; each
// message names the region of the log that it refers to.
//
// The package does no I/O, reads no clock and starts no goroutines.
package message

import (
	"time"

	"craneglade/internal/controlplane/resource"
)

// Message is one of Subscribe, SnapshotPart, Delta, Heartbeat, Acknowledge and Busy.
type Message interface{ RegionName() string }

// Subscribe subscribes to the log of a region, starting at the subscriber's position. A later Subscribe on the same session
// replaces the subscription.
type Subscribe struct {
	Region   string
	All      bool              // subscribe to all services, as relays and control processes do
	Services []string          // sorted; the services that the subscriber serves, if All is not set
	Have     resource.Position // the subscriber's position; zero if it has no state
	Digest   Digest            // of the subscriber's resources within the subscription
	Standby  bool              // send heartbeats only: this parent is the fallback for another one
}

// Digest is the sum, modulo 2^64, of the hashes of a set of resources. It doesn't depend on their order.
type Digest uint64

// SnapshotPart is one part of a snapshot of a subscription's resources at one position. A subscriber applies a snapshot
// atomically once it has received the last part.
type SnapshotPart struct {
	Region    string
	Position  resource.Position
	Index     uint32 // of the part, from 0; parts are sent in order
	Last      bool
	Resources []resource.Resource
	Digest    Digest // of the complete snapshot; in the last part
}

// Delta holds the changes of a subscription's resources after one position up to another. It applies only to a state that
// is exactly at From.
type Delta struct {
	Region  string
	From    resource.Position
	To      resource.Position
	Changes []resource.Change
	Digest  Digest // of the subscription's resources at To
}

// Heartbeat reports the position of a parent's log. Age is the time since the writer was known to be at that position: the
// sum of the delays on the path from the writer, each measured with a single clock.
type Heartbeat struct {
	Region   string
	Position resource.Position // of the parent's log
	Sent     resource.Position // up to which the parent has sent the subscription
	Digest   Digest            // of the subscription's resources at Sent
	Age      time.Duration
}

// Acknowledge reports to a parent the position that its subscriber has applied, or a change that it rejected.
type Acknowledge struct {
	Region   string
	Position resource.Position
	Refused  string // the error of a rejected change, one line with the resource and the field; "" if Position was applied
}

// Busy reports to a subscriber that its parent has no capacity for a further snapshot now.
type Busy struct {
	Region     string
	RetryAfter time.Duration
}

// RegionName returns the region of the log.
func (m *Subscribe) RegionName() string { return m.Region }

// RegionName returns the region of the log.
func (m *SnapshotPart) RegionName() string { return m.Region }

// RegionName returns the region of the log.
func (m *Delta) RegionName() string { return m.Region }

// RegionName returns the region of the log.
func (m *Heartbeat) RegionName() string { return m.Region }

// RegionName returns the region of the log.
func (m *Acknowledge) RegionName() string { return m.Region }

// RegionName returns the region of the log.
func (m *Busy) RegionName() string { return m.Region }
