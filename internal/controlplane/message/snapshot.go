package message

import (
	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/resource"
)

const (
	snapshotPartBytes     = 256 << 10 // of the resources of one part, as Resource.Size counts them
	snapshotPartResources = MaxResources / 2
)

// EncodeSnapshot writes all resources of a log at a position as one text, for storage and for the replicas of a log. It is
// a sequence of frames, each after its length, with one SnapshotPart in each.
func EncodeSnapshot(region string, position resource.Position, all []resource.Resource) []byte {
	var b []byte
	digest := DigestOf(all)
	for index := uint32(0); ; index++ {
		count := snapshotPartLength(all)
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

// snapshotPartLength is how many of the resources go into the next part.
func snapshotPartLength(all []resource.Resource) int {
	size, count := 0, 0
	for count < len(all) && count < snapshotPartResources && size < snapshotPartBytes {
		size += all[count].Size()
		count++
	}
	return count
}

// DecodeSnapshot reads what EncodeSnapshot wrote and checks that it is whole: all parts are there and the digest is right,
// where nothing was skipped. Errors are those of Decode.
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
			return "", resource.Position{}, nil, Skipped{}, malformed("part %d of a snapshot is of another", index)
		}
		all = append(all, part.Resources...)
		last, digest = part.Last, part.Digest
	}
	if len(b) > 0 {
		return "", resource.Position{}, nil, Skipped{}, malformed("%d bytes after the last part of a snapshot", len(b))
	}
	if skipped == (Skipped{}) && DigestOf(all) != digest {
		return "", resource.Position{}, nil, Skipped{}, malformed("the digest of a snapshot is wrong")
	}
	return region, position, all, skipped, nil
}

func nextPart(b []byte, skipped *Skipped) (*SnapshotPart, []byte, error) {
	frame, size := protowire.ConsumeBytes(b)
	if size < 0 {
		return nil, nil, malformed("a snapshot ends before its last part")
	}
	messages, passed, err := Decode(frame)
	if err != nil {
		return nil, nil, err
	}
	if len(messages) != 1 {
		return nil, nil, malformed("%d messages for a part of a snapshot", len(messages))
	}
	part, ok := messages[0].(*SnapshotPart)
	if !ok {
		return nil, nil, malformed("a %T for a part of a snapshot", messages[0])
	}
	skipped.Messages += passed.Messages
	skipped.Resources += passed.Resources
	skipped.Fields += passed.Fields
	return part, b[size:], nil
}
