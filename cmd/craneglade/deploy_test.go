package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	repositoryRoot = "../.."
	modulePrefix   = "craneglade/"
)

// deployFile is what deploy/balancer.toml says of the source.
type deployFile struct {
	Policy []string // files of the decision module
	Node   []string // folders of the node
}

// nodePackages returns the folders of this module that the node is built from.
func nodePackages(t *testing.T) (folders []string) {
	t.Helper()
	cmd := exec.Command("go", "list", "-deps", "./internal/node")
	cmd.Dir = repositoryRoot
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		if folder, own := strings.CutPrefix(strings.TrimSpace(line), modulePrefix); own {
			folders = append(folders, folder)
		}
	}
	return folders
}

// policyFiles returns the source files of the decision module without its tests.
func policyFiles(t *testing.T) (files []string) {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(repositoryRoot, "policy", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, "policy/"+filepath.Base(file))
		}
	}
	return files
}

// checkSameElements checks that two lists have the same elements, each once.
func checkSameElements(t *testing.T, what string, named, want []string) {
	t.Helper()
	for _, name := range want {
		if !slices.Contains(named, name) {
			t.Errorf("%s does not name %s", what, name)
		}
	}
	for i, name := range named {
		if !slices.Contains(want, name) || slices.Contains(named[:i], name) {
			t.Errorf("%s names %s, which is no part of it or was named before", what, name)
		}
	}
}

// deploy/balancer.toml once left out files that decide: whoever reads or counts by it did not see them.
func TestDeployFileNamesAllSources(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy deployFile
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	checkSameElements(t, "policy", deploy.Policy, policyFiles(t))
	node := append(nodePackages(t), "cmd/craneglade", "internal/cli")
	node = slices.DeleteFunc(node, func(folder string) bool { return folder == "policy" })
	checkSameElements(t, "node", deploy.Node, node)
}
