package controlnet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestIdentity(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		if err := checkIdentity(folder, "north", 1, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := checkIdentity(folder, "north", 1, false); err != nil {
		t.Error(err)
	}
	for _, x := range []struct {
		region string
		member uint64
	}{{"north", 2}, {"south", 1}} {
		if err := checkIdentity(folder, x.region, x.member, false); err == nil || !strings.Contains(err.Error(), "the folder belongs to") || strings.Contains(err.Error(), "\n") {
			t.Errorf("as member %d of %s: %v", x.member, x.region, err)
		}
	}
	if err := os.Remove(filepath.Join(folder, identityFile)); err != nil {
		t.Fatal(err)
	}
	if err := checkIdentity(folder, "north", 1, false); err == nil || !strings.Contains(err.Error(), "the file is missing but the log is not empty") {
		t.Errorf("a log without an identity file: %v", err)
	}
}
