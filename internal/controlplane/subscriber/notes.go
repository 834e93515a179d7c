package subscriber

import (
	"fmt"
	"time"

	"craneglade/internal/controlplane/resource"
)

// Note is an event for the operator's log. Its text is one line; its fields hold the values for programs.
type Note interface {
	fmt.Stringer
	note()
}

// SourceChanged reports that a region's log is now streamed from another parent.
type SourceChanged struct {
	Region string
	From   string // "" if there was no source before
	To     string
	Reason SwitchReason
}

// SwitchReason is why a replica changed its source.
type SwitchReason string

// The reasons of a SourceChanged.
const (
	SwitchFirst     SwitchReason = "it is the first that is connected"
	SwitchLost      SwitchReason = "the connection to the former is lost"
	SwitchSilent    SwitchReason = "the former is silent about this region"
	SwitchBehind    SwitchReason = "the former has been behind it for too long"
	SwitchPreferred SwitchReason = "it is preferred and has been stable"
)

// ParentLost reports that the connection to a parent ended or was closed.
type ParentLost struct {
	Parent string
	Reason LossReason
}

// LossReason is why a parent was lost.
type LossReason string

// The reasons of a ParentLost.
const (
	LossDisconnected LossReason = "the connection ended"
	LossSilent       LossReason = "it was silent for too long"
	LossStale        LossReason = "what it has is too old"
)

// NoParent reports that no parent is connected. The process continues with the state that it has.
type NoParent struct{}

// TransactionRefused reports that a transaction or snapshot was refused as a whole. The state in force is unchanged.
type TransactionRefused struct {
	Region   string
	Parent   string
	Position resource.Position // of the refused state
	InForce  resource.Position
	Err      error // one line that names the resource and the field
}

// LogWentBack reports that a parent's log ends before the state in force here, as after a restore from a backup.
type LogWentBack struct {
	Region  string
	Parent  string
	Offered resource.Position
	InForce resource.Position
}

// DigestMismatch reports that the state in force differs from the parent's state at the same position. A snapshot is
// requested.
type DigestMismatch struct {
	Region   string
	Parent   string
	Position resource.Position
}

// OldEpoch reports a change by a writer that has been replaced. The change was dropped.
type OldEpoch struct {
	Region  string
	Parent  string
	Offered resource.Position
	InForce resource.Position
}

// MessageDropped reports that an invalid message was dropped. Further messages of the same kind are counted without a note
// until NoteInterval has passed.
type MessageDropped struct {
	Parent string
	Region string
	Reason DropReason
	Detail string
}

// DropReason is what was wrong with a message.
type DropReason string

// The reasons of a MessageDropped.
const (
	DropUnknownParent DropReason = "its sender is no parent"
	DropUnknownRegion DropReason = "the region is not one of those subscribed to"
	DropUnexpected    DropReason = "a parent doesn't send this"
	DropTooLarge      DropReason = "it is too large"
	DropNotSubscribed DropReason = "it holds a service that is not subscribed to"
	DropMalformed     DropReason = "its fields contradict each other"
)

func (n SourceChanged) String() string {
	if n.From == "" {
		return fmt.Sprintf("region %q is streamed from %q: %s", n.Region, n.To, n.Reason)
	}
	return fmt.Sprintf("region %q is streamed from %q instead of %q: %s", n.Region, n.To, n.From, n.Reason)
}

func (n ParentLost) String() string { return fmt.Sprintf("parent %q is lost: %s", n.Parent, n.Reason) }

func (NoParent) String() string { return "no parent is connected: serving on with what is in force" }

func (n TransactionRefused) String() string {
	return fmt.Sprintf("region %q: position %s from %q is refused, %s stays in force: %v", n.Region, n.Position, n.Parent, n.InForce, n.Err)
}

func (n LogWentBack) String() string {
	return fmt.Sprintf("region %q: the log at %q ends at %s, before %s that is in force here and stays: restore a log under a newer epoch than %d",
		n.Region, n.Parent, n.Offered, n.InForce, n.InForce.Epoch)
}

func (n DigestMismatch) String() string {
	return fmt.Sprintf("region %q: the state at %s differs from that of %q: asking for all of it", n.Region, n.Position, n.Parent)
}

func (n OldEpoch) String() string {
	return fmt.Sprintf("region %q: %q sent %s of a writer that was replaced; %s stays in force", n.Region, n.Parent, n.Offered, n.InForce)
}

func (n MessageDropped) String() string {
	return fmt.Sprintf("a message of %q about region %q is dropped: %s (%s)", n.Parent, n.Region, n.Reason, n.Detail)
}

func (SourceChanged) note()      {}
func (ParentLost) note()         {}
func (NoParent) note()           {}
func (TransactionRefused) note() {}
func (LogWentBack) note()        {}
func (DigestMismatch) note()     {}
func (OldEpoch) note()           {}
func (MessageDropped) note()     {}

// noteKey identifies notes about dropped messages that are of the same kind.
type noteKey struct {
	parent string
	reason DropReason
}

func (s *Subscriber) note(n Note) { s.notes = append(s.notes, n) }

// noteOnce adds a note about a dropped message, unless one of the same kind was added within NoteInterval.
func (s *Subscriber) noteOnce(n MessageDropped) {
	key := noteKey{n.Parent, n.Reason}
	if n.Reason == DropUnknownParent {
		key.parent = "" // made-up names of unknown senders must not fill the map
	}
	if at, noted := s.lastNoted[key]; noted && s.now-at < s.cfg.Limits.NoteInterval {
		return
	}
	s.lastNoted[key] = s.now
	s.note(n)
}

// Notes returns the notes added since the last call.
func (s *Subscriber) Notes() []Note {
	notes := s.notes
	s.notes = nil
	return notes
}

// ageUnknown is the age of a replica that has never received the age of its state.
const ageUnknown = 365 * 24 * time.Hour
