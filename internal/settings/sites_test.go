package settings

import (
	"strings"
	"testing"

	"craneglade/internal/sites"
)

func TestSites(t *testing.T) {
	good := `[sites]
refuse = ["send-quote"]
[[sites.site]]
name = "tacoma"
capacity = 180
boxes = 8
nodes = 4
load = 90
reserve = 0.2
to = [{site = "everett", part = 1.0, most = 60}]
[[sites.site]]
name = "everett"
capacity = 100
boxes = 6
nodes = 3
load = 50
`
	f, err := Parse("own.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	p := f.Sites.Plan
	if !f.Sites.On() || p == nil || p.MaxUtilization != sites.DefaultMaxUtilization || len(p.Sites) != 2 || p.Sites[0].Overflow[0] != (sites.OverflowTarget{Site: "everett", Fraction: 1, MaxRate: 60}) || p.Sites[0].Reserve != 0.2 {
		t.Errorf("%+v", p)
	}
	if f, err := Parse("own.toml", []byte("[sites]\nwatch = true\n")); err != nil || !f.Sites.On() || f.Sites.Plan != nil {
		t.Errorf("%v", err)
	}
	if f, err := Parse("own.toml", nil); err != nil || f.Sites.On() {
		t.Errorf("on without the table: %v", err)
	}
	for _, x := range []struct{ old, new, want string }{
		{`capacity = 180`, `capacity = 0`, "own.toml:5: sites.site[0].capacity: 0 is no number of requests a second over 0"},
		{`capacity = 180`, `capacities = 180`, "own.toml:5: sites.site.capacities: no such key"},
		{`site = "everett"`, `site = "seattle"`, `own.toml:10: sites.site[0].to`},
		{`part = 1.0`, `part = 0.6`, "own.toml:10: sites.site[0].to: the parts add up to 0.600, and not to 1"},
		{"[sites]\n", "[sites]\nfull = 2.0\n", "own.toml:2: sites.full: 2 is outside 0.1 to 1"},
		{"[sites]\n", "[sites]\nwatch = false\n", "own.toml:2: sites.watch: a plan requires it"},
		{good, "[sites]\nfull = 0.5\n", "own.toml:2: sites.full: no effect without [[sites.site]]"},
	} {
		_, err := Parse("own.toml", []byte(strings.Replace(good, x.old, x.new, 1)))
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s:\n got %v\nwant %s", x.new, err, x.want)
		}
	}
}
