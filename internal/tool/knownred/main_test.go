package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	t.Parallel()
	root := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(root, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("a_test.go", "package a\n\nfunc TestOne(t *testing.T) {}\nfunc TestTwo(t *testing.T) {}\nfunc TestThree(t *testing.T) {}\nfunc TestFour(t *testing.T) {}\n")
	if err := os.Mkdir(filepath.Join(root, "case"), 0o700); err != nil {
		t.Fatal(err)
	}
	write("case/run.sh", "exit 0\n")
	for _, c := range []struct{ name, text, want, fails string }{
		{"one", "TestOne, a list that crosses a reload, 33\n", "^TestOne$", ""},
		{"a part of one", "TestOne/push.x, cause, 33\n", `^TestOne$/^push\.x$`, ""},
		{"three", "TestOne, a, 1\nTestTwo, b, 2\nTestThree, c, 3\n", "^TestOne$|^TestTwo$|^TestThree$", ""},
		{"four", "TestOne, a, 1\nTestTwo, b, 2\nTestThree, c, 3\nTestFour, d, 4\n", "^TestOne$|^TestTwo$|^TestThree$|^TestFour$", ""},
		{"a command", "bash case/run.sh, a cause, 1\n", "", ""},
		{"a command and its seed beside a test", "bash case/run.sh (no seed), a cause, seen twice, 1\nTestOne, a, 1\n", "^TestOne$", ""},
		{"a command without its script", "bash other/run.sh, a, 1\n", "", "no file other/run.sh"},
		{"a command without an issue", "bash case/run.sh, a cause\n", "", "the cause and the issue"},
		{"a command with flags", "go test ./case -run TestOne -first 208, a cause, 1\n", "", ""},
		{"a command for a folder that is not there", "go test ./other -run TestOne, a cause, 1\n", "", "no file ./other"},
		{"another command", "sh -c true, a, 1\n", "", "the cause and the issue"},
		{"one that is not there", "TestFive, a, 1\n", "", "no test TestFive"},
		{"a name that is only a beginning", "TestT, a, 1\n", "", "no test TestT"},
		{"no issue", "TestOne, a cause\n", "", "the cause and the issue"},
		{"nothing", "", "", "the cause and the issue"},
		{"a pattern", "Test.*, a, 1\n", "", "the cause and the issue"},
	} {
		got, err := skipPattern(write("red.txt", c.text), root)
		if got != c.want || (err == nil) != (c.fails == "") || err != nil && !strings.Contains(err.Error(), c.fails) {
			t.Errorf("%s: %q, %v; want %q or an error with %q", c.name, got, err, c.want, c.fails)
		}
	}
}
