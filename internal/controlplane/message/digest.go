package message

import "craneglade/internal/controlplane/resource"

// Add returns the digest of the set with r added.
func (d Digest) Add(r *resource.Resource) Digest { return d + Digest(r.Hash()) }

// Remove returns the digest of the set with r removed. r must have been in the set.
func (d Digest) Remove(r *resource.Resource) Digest { return d - Digest(r.Hash()) }

// DigestOf returns the digest of a set of resources.
func DigestOf(all []resource.Resource) Digest {
	var d Digest
	for i := range all {
		d = d.Add(&all[i])
	}
	return d
}
