package message

import (
	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/resource"
)

const (
	snapshotPartBytes     = 256 << 10 // a part is complete once the sum of Resource.Size reaches this
	snapshotPartResources = MaxResources / 2
)

// EncodeSnapshot encodes all resources of a log at a position, for storage and for the replicas of a log: as a sequence of
// frames with one SnapshotPart each, each frame preceded by its length.
func EncodeSnapshot(region string, position resource.Position, all []resource.Resource) []byte {
	var b []byte
	digest := DigestOf(all)
	for index := uint32(0); ; index++ {
		count := nextPartCount(all)
		part := &SnapshotPart{Region: region, Position: position, Index: index, Resources: all[:count]}
		all = all[count:]
		if len(all) == 0 {
			part.Last, part.Digest = true, digest
		}
		b = protowire.AppendBytes(b, Encode(part))
		if part.Last {
			return b
		}
	}
}

// nextPartCount returns how many of the resources go into the next part.
func nextPartCount(all []resource.Resource) int {
	size, count := 0, 0
	for count < len(all) && count < snapshotPartResources && size < snapshotPartBytes {
		size += all[count].Size()
		count++
	}
	return count
}

// DecodeSnapshot decodes the result of EncodeSnapshot. It checks that all parts are present and, unless something was
// skipped, that the digest matches. Errors are those of Decode.
func DecodeSnapshot(b []byte) (region string, position resource.Position, all []resource.Resource, skipped Skipped, err error) {
	var digest Digest
	for index, last := uint32(0), false; !last; index++ {
		var part *SnapshotPart
		if part, b, err = nextPart(b, &skipped); err != nil {
			return "", resource.Position{}, nil, Skipped{}, err
		}
		if index == 0 {
			region, position = part.Region, part.Position
		}
		if part.Index != index || part.Region != region || part.Position != position {
			return "", resource.Position{}, nil, Skipped{}, malformed("part %d belongs to another snapshot or is out of order", index)
		}
		all = append(all, part.Resources...)
		last, digest = part.Last, part.Digest
	}
	if len(b) > 0 {
		return "", resource.Position{}, nil, Skipped{}, malformed("%d bytes after the last part of a snapshot", len(b))
	}
	if skipped == (Skipped{}) && DigestOf(all) != digest {
		return "", resource.Position{}, nil, Skipped{}, malformed("the digest of a snapshot does not match its resources")
	}
	return region, position, all, skipped, nil
}

// nextPart decodes the first frame of b. It returns the part and the rest of b, and adds to skipped.
func nextPart(b []byte, skipped *Skipped) (*SnapshotPart, []byte, error) {
	frame, size := protowire.ConsumeBytes(b)
	if size < 0 {
		return nil, nil, malformed("a snapshot ends before its last part")
	}
	messages, partSkipped, err := Decode(frame)
	if err != nil {
		return nil, nil, err
	}
	if len(messages) != 1 {
		return nil, nil, malformed("%d messages in place of one part of a snapshot", len(messages))
	}
	part, ok := messages[0].(*SnapshotPart)
	if !ok {
		return nil, nil, malformed("a %T in place of a part of a snapshot", messages[0])
	}
	skipped.Messages += partSkipped.Messages
	skipped.Resources += partSkipped.Resources
	skipped.Fields += partSkipped.Fields
	return part, b[size:], nil
}
