package packet

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
)

func node(t *rapid.T, name string) escrow.Node {
	return escrow.Node{Number: rapid.IntRange(0, maxNodeNumber).Draw(t, name), Incarnation: rapid.Uint64().Draw(t, name+" life")}
}

func entry(t *rapid.T) Entry {
	e := Entry{Kind: Kind(rapid.IntRange(int(Window), int(Leave)).Draw(t, "kind")), Node: node(t, "node"),
		Age: time.Duration(rapid.IntRange(0, 10000).Draw(t, "age")) * time.Millisecond}
	e.Window.Incarnation = e.Node.Incarnation
	switch e.Kind {
	case Window:
		e.Key = rapid.StringN(0, 20, 80).Draw(t, "key")
		e.Window.Epoch = rapid.Uint64().Draw(t, "epoch")
		for i := range counts.WindowEpochs {
			e.Window.Counts[i] = rapid.Uint64().Draw(t, "count")
		}
	case Observation:
		e.Backend = judgement.Key(rapid.Uint64().Draw(t, "backend"))
		tried := rapid.IntRange(0, 1000).Draw(t, "tried")
		e.Observation = judgement.Observation{Seq: rapid.Uint64().Draw(t, "seq"), Attempts: float64(tried) / observationScale,
			Failures: float64(rapid.IntRange(0, tried).Draw(t, "failed")) / observationScale}
	case LoanRequest, Grant, Return:
		e.Key = rapid.StringN(0, 20, 80).Draw(t, "budget")
		e.Nonce, e.Grains = rapid.Uint64().Draw(t, "nonce"), rapid.Int64Range(0, escrow.BudgetGrains).Draw(t, "grains")
		if e.Kind == Grant {
			e.To = node(t, "to")
		}
	}
	return e
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(entry), 0, 5).Draw(t, "entries")
		got, skipped, err := Decode(Frame(all...))
		if err != nil || skipped != 0 || len(got) != len(all) {
			t.Fatalf("%d of %d entries, %d skipped, error %v", len(got), len(all), skipped, err)
		}
		for i := range all {
			if !reflect.DeepEqual(got[i], all[i]) {
				t.Fatalf("wrote %+v\nread %+v", all[i], got[i])
			}
			older := all[i]
			older.Age += time.Hour
			if len(Frame(older)) != len(Frame(all[i])) {
				t.Fatal("the length of an entry depends on its age")
			}
		}
	})
}

// A frame of a later version has unknown fields and entries of unknown kinds among the known ones.
func TestUnknownFieldsAndKindsAreSkipped(t *testing.T) {
	known := Entry{Kind: LoanRequest, Node: escrow.Node{Number: 3, Incarnation: 7}, Key: "quota/a", Nonce: 4, Grains: 1000,
		Window: counts.Window{Incarnation: 7}}
	grown := protowire.AppendString(protowire.AppendTag(known.append(nil), 40, protowire.BytesType), "a field of the future")
	grown = protowire.AppendFixed64(protowire.AppendTag(grown, 41, protowire.Fixed64Type), 1)
	other := varint(varint(nil, fKind, 99), 77, 5)
	b := varint(nil, fVersion, 2)
	b = varint(b, 50, 1)
	for _, e := range [][]byte{other, grown, other} {
		b = protowire.AppendBytes(protowire.AppendTag(b, fEntry, protowire.BytesType), e)
	}
	got, skipped, err := Decode(b)
	if err != nil || skipped != 2 || len(got) != 1 || !reflect.DeepEqual(got[0], known) {
		t.Errorf("%+v, %d skipped, error %v", got, skipped, err)
	}
}

func TestMalformedFrames(t *testing.T) {
	good := Frame(Entry{Kind: LoanRequest, Key: "b", Grains: 5})
	for name, b := range map[string][]byte{
		"cut off":           good[:len(good)-1],
		"no version":        good[2:],
		"grains":            Frame(Entry{Kind: LoanRequest, Grains: escrow.BudgetGrains + 1}),
		"a long key":        Frame(Entry{Kind: LoanRequest, Key: string(make([]byte, maxKeyBytes+1))}),
		"a number":          Frame(Entry{Kind: LoanRequest, Node: escrow.Node{Number: maxNodeNumber + 1}}),
		"no fields":         {0xff, 0xff},
		"entry as a number": varint(varint(nil, fVersion, 1), fEntry, 9),
	} {
		if got, _, err := Decode(b); err == nil || got != nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Frame(Entry{Kind: Window, Key: "tenant"}, Entry{Kind: Observation, Backend: 5, Observation: judgement.Observation{Seq: 1, Attempts: 2, Failures: 1}},
		Entry{Kind: Grant, Key: "quota/a", Nonce: 3, Grains: 5, To: escrow.Node{Number: 1, Incarnation: 2}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, _, err := Decode(b)
		if err != nil {
			return
		}
		// What was decoded can be encoded and decoded again.
		again, skipped, err := Decode(Frame(all...))
		if err != nil || skipped != 0 || len(again) != len(all) {
			t.Fatalf("%d of %d entries, error %v", len(again), len(all), err)
		}
	})
}
