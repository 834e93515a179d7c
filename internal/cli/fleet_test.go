package cli

import (
	"strings"
	"testing"
	"time"

	"craneglade/internal/peers"
	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/roster"
)

// Counts, members, budgets, loans and votes in the text output of craneglade fleet.
func TestPrintShared(t *testing.T) {
	r := &peers.Report{Report: shared.Report{Name: "n1", Count: roster.Count{Lower: 2, Upper: 3, Age: 1234 * time.Millisecond},
		Sites:   map[string]roster.Count{"tacoma": {Lower: 2, Upper: 2, Age: time.Second}, "": {Upper: 1}},
		Members: []shared.Member{{Name: "n2", Number: 1, Site: "tacoma", State: "alive", SinceHeard: 1234 * time.Millisecond}},
		Budgets: []shared.BudgetShare{{Budget: "quota/a", Spendable: 0.5, Base: 0.25, Borrowed: []escrow.Loan{{With: 2, Grains: escrow.BudgetGrains / 4}}}},
		Votes:   []shared.Vote{{Name: "box-17", Site: "tacoma", Unhealthy: 3, Healthy: 1, Ejected: true}}, Capped: 2}}
	var b strings.Builder
	if err := printShared(&b, r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Nodes: 2 to 3, by word of at most 1.23s ago", "tacoma: 2, by word of at most 1s ago", "(no site): 0 to 1",
		"n2    1       tacoma  alive  1.23s ago", "quota/a  50.00%     25.00%  2: 25.00%  -", "box-17  tacoma  3               1               true",
		"2 more would be out"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("missing %q in\n%s", want, b.String())
		}
	}
}
