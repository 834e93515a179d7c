package tomlfile

import "testing"

// A value of a wrong type is told in one line with file, line and key, and in words of the file, not of the program.
func TestValuesOfAWrongType(t *testing.T) {
	type step struct {
		Nodes int     `toml:"nodes"`
		Part  float64 `toml:"part"`
		Name  string  `toml:"name"`
		On    bool    `toml:"on"`
		Sizes []int   `toml:"sizes"`
	}
	for text, want := range map[string]string{
		"[[step]]\nnodes = \"x\"":   "plan.toml:2: step.nodes: a TOML string is no value of it: write a whole number",
		"[[step]]\npart = \"x\"":    "plan.toml:2: step.part: a TOML string is no value of it: write a number",
		"[[step]]\n\nname = 3":      "plan.toml:3: step.name: a TOML integer is no value of it: write text in quotes",
		"[[step]]\non = 1":          "plan.toml:2: step.on: a TOML integer is no value of it: write true or false",
		"[[step]]\nsizes = \"few\"": "plan.toml:2: step.sizes: a TOML string is no value of it: write a list in brackets",
	} {
		var plan struct {
			Steps []step `toml:"step"`
		}
		if _, err := Decode("plan.toml", []byte(text), &plan); err == nil || err.Error() != want {
			t.Errorf("%q: %v\nwant %s", text, err, want)
		}
	}
}
