// Package tomlfile reads this program's own TOML files (TOML v1.0.0) strictly: an unknown key, a wrong type and a wrong
// or missing unit are errors. An error is one line with the file, line and key, and a suggestion where there is one.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a duration in the syntax of Go: "30s", "1m30s", "250ms", "1.5ms".
type Duration time.Duration

// UnmarshalText parses a duration. An error describes the syntax.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`%q is no time: write a number and a unit, such as "30s" or "250ms"`, text)
	}
	*d = Duration(v)
	return nil
}

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// S returns the duration in seconds.
func (d Duration) S() float64 { return time.Duration(d).Seconds() }

// String formats the duration in the syntax of Go.
func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes, written with a unit: "64KiB", "8MiB", "1GiB" or "512B".
type Size int64

// UnmarshalText parses a size. An error describes the syntax.
func (z *Size) UnmarshalText(text []byte) error {
	for i, unit := range []string{"KiB", "MiB", "GiB", "B"} {
		digits, ok := strings.CutSuffix(string(text), unit)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 40)
		if err != nil || n < 0 {
			break
		}
		*z = Size(n)
		if unit != "B" {
			*z = Size(n << (10 * (i + 1)))
		}
		return nil
	}
	return fmt.Errorf(`%q is no size: write a whole number and a unit, such as "64KiB" or "8MiB"`, text)
}

// Keys holds the keys that a file sets, with their lines. Entries of arrays of tables are numbered: event[1].at.
type Keys struct {
	file  string
	lines map[string]int
}

// Has reports whether the file sets a key.
func (k *Keys) Has(key string) bool {
	_, ok := k.lines[key]
	return ok
}

// Decode decodes text into v, a pointer to a struct, and returns the keys that it sets. file is the name used in
// errors.
func Decode(file string, text []byte, v any) (*Keys, error) {
	k := &Keys{file: file}
	var unitless []string
	k.lines, unitless = keyLines(text)
	units := unitsOf(reflect.TypeOf(v).Elem(), "", map[string]string{})
	for _, key := range unitless {
		if form := units[strings.Join(strings.FieldsFunc(key, indexRunes()), "")]; form != "" {
			return nil, k.Problem(key, "a number without a unit: write %s", form)
		}
	}
	dec := toml.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			e := strict.Errors[0]
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			return nil, fmt.Errorf("%s:%d: %s: no such key%s", file, row, key, suggestion(key, keysOf(reflect.TypeOf(v).Elem(), nil)))
		}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			text := describeMismatch(strings.TrimPrefix(de.Error(), "toml: "))
			if key := strings.Join(de.Key(), "."); key != "" {
				text = key + ": " + text
			}
			return nil, fmt.Errorf("%s:%d: %s", file, row, text)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return k, nil
}

// typeMismatch matches the decoder's error for a value whose type differs from that of its field.
var typeMismatch = regexp.MustCompile(`^cannot decode TOML (\w+) into struct field \S+ of type (\S+)$`)

// describeMismatch rewords the decoder's error for a value of a wrong type without the program's types, which the
// author of the file does not know. Any other text is returned unchanged.
func describeMismatch(text string) string {
	m := typeMismatch.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	want := map[string]string{"string": "text in quotes", "bool": "true or false", "float64": "a number"}[m[2]]
	switch {
	case want != "":
	case strings.HasPrefix(m[2], "int") || strings.HasPrefix(m[2], "uint"):
		want = "a whole number"
	case strings.HasPrefix(m[2], "[]"):
		want = "a list in brackets"
	default:
		want = "a table"
	}
	return fmt.Sprintf("a TOML %s is not allowed here: write %s", m[1], want)
}

// indexRunes returns a function that reports for each rune in turn whether it belongs to an index, as in event[12].at.
func indexRunes() func(rune) bool {
	inside := false
	return func(r rune) bool {
		if r == '[' {
			inside = true
		}
		was := inside
		if r == ']' {
			inside = false
		}
		return was
	}
}

// unitsOf adds to units the keys of t whose values carry a unit, each with the syntax of its value.
func unitsOf(t reflect.Type, prefix string, units map[string]string) map[string]string {
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		if name == "" {
			continue
		}
		f := t.Field(i).Type
		if f.Kind() == reflect.Slice {
			f = f.Elem()
		}
		switch {
		case f == reflect.TypeFor[Duration]():
			units[prefix+name] = `text, such as "30s" or "250ms"`
		case f == reflect.TypeFor[Size]():
			units[prefix+name] = `text, such as "64KiB" or "8MiB"`
		case f.Kind() == reflect.Struct:
			unitsOf(f, prefix+name+".", units)
		}
	}
	return units
}

// keyLines maps each key path to its line, and lists the keys of plain numbers. Entries of arrays of tables are
// numbered: event[1].at.
func keyLines(text []byte) (byKey map[string]int, unitless []string) {
	byKey, count := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	counted, line := 0, 1 // line is that of the byte counted; expressions come in file order
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		for it := e.Key(); it.Next(); {
			if at := int(it.Node().Raw.Offset); at > counted {
				line += bytes.Count(text[counted:at], []byte{'\n'})
				counted = at
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, count[key])
			count[key]++
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			if v := e.Value().Kind; v == unstable.Integer || v == unstable.Float {
				unitless = append(unitless, key)
			}
		default:
			continue
		}
		if e.Kind != unstable.KeyValue {
			key = prefix
		}
		byKey[key] = line
	}
	return byKey, unitless
}

// suggestion returns a hint with the known key that is closest to an unknown one, if one is close.
func suggestion(key string, known []string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	best, bestDistance := "", 3
	for _, k := range known {
		if d := editDistance(last, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", best)
}

// editDistance returns the Levenshtein distance of two words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range row {
		row[i] = i
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for k := range len(b) {
			cost := last
			if a[i] != b[k] {
				cost++
			}
			last = row[k+1]
			row[k+1] = min(cost, row[k+1]+1, row[k]+1)
		}
	}
	return row[len(b)]
}

// Problem returns an error at a key. Its line is that of the key or, if the file does not set the key, of the table to
// which it would belong.
func (k *Keys) Problem(key, format string, args ...any) error {
	line, ok := k.lines[key]
	for up := key; !ok && up != ""; {
		if i := strings.LastIndexByte(up, '.'); i >= 0 {
			up = up[:i]
		} else {
			up = ""
		}
		if line, ok = k.lines[up]; !ok && strings.HasSuffix(up, "]") { // an entry of an inline array
			line, ok = k.lines[up[:strings.LastIndexByte(up, '[')]]
		}
	}
	return fmt.Errorf("%s:%d: %s: %s", k.file, max(line, 1), key, fmt.Sprintf(format, args...))
}

// keysOf appends the names of all keys of a struct type to keys.
func keysOf(t reflect.Type, keys []string) []string {
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		if name == "" {
			continue
		}
		keys = append(keys, name)
		switch f := t.Field(i).Type; f.Kind() {
		case reflect.Struct:
			keys = keysOf(f, keys)
		case reflect.Slice:
			if f.Elem().Kind() == reflect.Struct {
				keys = keysOf(f.Elem(), keys)
			}
		}
	}
	return keys
}
