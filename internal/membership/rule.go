package membership

// Claim is what one source says of a backend now.
type Claim uint8

const (
	NoClaim   Claim = iota // nothing, or it has lost its say
	Named                  // it is there
	Withdrawn              // it drains, or was named and is not any more
)

// Decisions is the whole rule on disagreement: what the backend list says, by what the other sources say together. Other
// sources together say Withdrawn as soon as one of them does. Silent of the list means that it does not know the
// backend.
var Decisions = [3][3]struct {
	Use bool   // new requests may go there
	Why string // one line for operators
}{
	NoClaim: {
		NoClaim:   {false, "no source knows it"},
		Named:     {false, "only names know it: nothing tells its kind and start"}, // used while the list has lost its say
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
