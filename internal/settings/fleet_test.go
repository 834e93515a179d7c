package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"craneglade/internal/shared"
)

func TestFleet(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("000102030405060708090a0b0c0d0e0f\nf0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	badKey := filepath.Join(filepath.Dir(key), "bad")
	if err := os.WriteFile(badKey, []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := fmt.Sprintf(`[fleet]
listen = "127.0.0.1:7946"
seeds = ["127.0.0.1:7947"]
cluster = "configurator"
key_file = %q
`, key)
	f, err := Parse("own.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if f := f.Fleet; f.Advertise != f.Listen || len(f.Keys) != 2 || len(f.Keys[1]) != 16 || f.Features != (shared.Features{Quotas: true}) || f.BytesPerSecond != DefaultBytesPerSecond || f.MaxDatagramBytes != 1400 {
		t.Errorf("%+v", f)
	}
	if f, err := Parse("own.toml", []byte(good+`use = ["ejections", "escrow"]`)); err != nil || f.Fleet.Features != (shared.Features{Escrow: true, Ejections: true}) {
		t.Errorf("%v", err)
	}
	for _, x := range []struct{ old, new, want string }{
		{`listen = "127.0.0.1:7946"`, ``, "own.toml:1: fleet.listen: missing, and fleet.seeds has no effect without it"},
		{`"127.0.0.1:7946"`, `"somewhere:7946"`, `own.toml:2: fleet.listen: "somewhere:7946" is not an IP address and a port`},
		{`"127.0.0.1:7947"`, `"127.0.0.1"`, "own.toml:3: fleet.seeds"},
		{`"configurator"`, `""`, "own.toml:4: fleet.cluster"},
		{fmt.Sprintf("key_file = %q\n", key), ``, "fleet.key_file: missing"},
		{fmt.Sprintf("%q", key), `"/no/such/key"`, "own.toml:5: fleet.key_file: open /no/such/key"},
		{fmt.Sprintf("%q", key), fmt.Sprintf("%q", badKey), "key 1 is not 16, 24 or 32 bytes in hexadecimal"},
		{`cluster`, "use = [\"all\"]\ncluster", `own.toml:4: fleet.use: "all" is none of quotas, escrow, ejections, crossing and nothing`},
		{`cluster`, "datagram = 100\ncluster", "own.toml:4: fleet.datagram: 100 is outside 256 to 65000 bytes"},
		{`cluster`, "bytes = \"1MiB\"\nleave = \"1m\"\ncluster", "own.toml:5: fleet.leave"},
	} {
		text := strings.Replace(good, x.old, x.new, 1)
		if text == good {
			t.Fatalf("%q is not in the file", x.old)
		}
		_, err := Parse("own.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s:\n got %v\nwant %s", text, err, x.want)
		}
	}
}
