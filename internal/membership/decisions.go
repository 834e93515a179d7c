package membership

// Claim is what a source currently says about a backend.
type Claim uint8

const (
	NoClaim   Claim = iota // nothing, or the source has timed out
	Named                  // the backend exists
	Withdrawn              // the backend drains, or the source no longer names it
)

// Decisions is the table for sources that disagree, indexed by the claim of the backend list and by the combined claim of the
// other sources. The combined claim is Withdrawn as soon as one of them says so. NoClaim of the list means that it does not
// know the backend.
var Decisions = [3][3]struct {
	Use    bool   // new requests may be sent to it
	Reason string // shown to operators
}{
	NoClaim: {
		NoClaim:   {false, "no source knows it"},
		Named:     {false, "only names know it: nothing tells its kind and start"}, // used while the list has timed out
		Withdrawn: {false, "the names took it back"},
	},
	Named: {
		NoClaim:   {true, "the list has it"},
		Named:     {true, "all sources have it"},
		Withdrawn: {false, "the names took it back before the list did"},
	},
	Withdrawn: {
		NoClaim:   {false, "the list says that it drains or is gone"},
		Named:     {false, "the list says that it drains or is gone, the names are behind"},
		Withdrawn: {false, "all sources say that it drains or is gone"},
	},
}
