package tomlfile

import "testing"

// The error for a value of a wrong type must be one line with file, line and key, without the program's type names.
func TestTypeMismatchErrors(t *testing.T) {
	type step struct {
		Nodes int     `toml:"nodes"`
		Part  float64 `toml:"part"`
		Name  string  `toml:"name"`
		On    bool    `toml:"on"`
		Sizes []int   `toml:"sizes"`
	}
	for text, want := range map[string]string{
		"[[step]]\nnodes = \"x\"":   "plan.toml:2: step.nodes: a TOML string is not allowed here: write a whole number",
		"[[step]]\npart = \"x\"":    "plan.toml:2: step.part: a TOML string is not allowed here: write a number",
		"[[step]]\n\nname = 3":      "plan.toml:3: step.name: a TOML integer is not allowed here: write text in quotes",
		"[[step]]\non = 1":          "plan.toml:2: step.on: a TOML integer is not allowed here: write true or false",
		"[[step]]\nsizes = \"few\"": "plan.toml:2: step.sizes: a TOML string is not allowed here: write a list in brackets",
	} {
		var plan struct {
			Steps []step `toml:"step"`
		}
		if _, err := Decode("plan.toml", []byte(text), &plan); err == nil || err.Error() != want {
			t.Errorf("%q: %v\nwant %s", text, err, want)
		}
	}
}
