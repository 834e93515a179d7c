package message

import "craneglade/internal/controlplane/resource"

// Add is the digest of the set with one more resource.
func (d Digest) Add(r *resource.Resource) Digest { return d + Digest(r.Hash()) }

// Remove is the digest of the set without the resource, which was in it.
func (d Digest) Remove(r *resource.Resource) Digest { return d - Digest(r.Hash()) }

// DigestOf is the digest of a set of resources.
func DigestOf(all []resource.Resource) Digest {
	var d Digest
	for i := range all {
		d = d.Add(&all[i])
	}
	return d
}
