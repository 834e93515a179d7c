// Package tomlfile reads this program's own TOML files (TOML v1.0.0) strictly: an unknown key, a wrong type and a wrong
// unit are errors of one line that names file, line and key, and where it can what would be right.
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

// Duration is a time span written as Go writes them: "30s", "1m30s", "250ms", "1.5ms".
type Duration time.Duration

// UnmarshalText reads a duration; an error tells the form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`%q is no time: write a number and a unit, such as "30s" or "250ms"`, text)
	}
	*d = Duration(v)
	return nil
}

// D is the duration as the time package's.
func (d Duration) D() time.Duration { return time.Duration(d) }

// S is the duration in seconds.
func (d Duration) S() float64 { return time.Duration(d).Seconds() }

func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes written with a unit: "64KiB", "8MiB", "1GiB", or "512B".
type Size int64

// UnmarshalText reads a size; an error tells the form.
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

// Keys are the keys that a file names, with their lines. Entries of arrays of tables are numbered: event[1].at.
type Keys struct {
	file  string
	where map[string]int
}

// Has tells whether the file names a key.
func (k *Keys) Has(key string) bool {
	_, ok := k.where[key]
	return ok
}

// Decode reads text into v, a pointer to a struct, and returns the keys that it names. file is for errors.
func Decode(file string, text []byte, v any) (*Keys, error) {
	k := &Keys{file: file}
	var bare []string
	k.where, bare = lines(text)
	units := unitsOf(reflect.TypeOf(v).Elem(), "", map[string]string{})
	for _, key := range bare {
		if form := units[strings.Join(strings.FieldsFunc(key, inIndex()), "")]; form != "" {
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
			return nil, fmt.Errorf("%s:%d: %s: no such key%s", file, row, key, near(key, keysOf(reflect.TypeOf(v).Elem(), nil)))
		}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			text := wrongType(strings.TrimPrefix(de.Error(), "toml: "))
			if key := strings.Join(de.Key(), "."); key != "" {
				text = key + ": " + text
			}
			return nil, fmt.Errorf("%s:%d: %s", file, row, text)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return k, nil
}

// typeMismatch is what the decoder says of a value of another type than its field's.
var typeMismatch = regexp.MustCompile(`^cannot decode TOML (\w+) into struct field \S+ of type (\S+)$`)

// wrongType words a value of a wrong type for who writes the file, who knows nothing of the program's types. Any other
// text stays as it is.
func wrongType(text string) string {
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
	return fmt.Sprintf("a TOML %s is no value of it: write %s", m[1], want)
}

// inIndex tells the runes of an index, as in event[12].at, from the others.
func inIndex() func(rune) bool {
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

// unitsOf finds the keys whose values carry a unit, and the form of those.
func unitsOf(t reflect.Type, prefix string, into map[string]string) map[string]string {
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
			into[prefix+name] = `text, such as "30s" or "250ms"`
		case f == reflect.TypeFor[Size]():
			into[prefix+name] = `text, such as "64KiB" or "8MiB"`
		case f.Kind() == reflect.Struct:
			unitsOf(f, prefix+name+".", into)
		}
	}
	return into
}

// lines maps each key path to its line, and lists the keys of plain numbers; entries of arrays of tables are numbered: event[1].at.
func lines(text []byte) (where map[string]int, bare []string) {
	where, count := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	counted, line := 0, 1 // the line at which a byte stands; expressions come in their order
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
				bare = append(bare, key)
			}
		default:
			continue
		}
		if e.Kind != unstable.KeyValue {
			key = prefix
		}
		where[key] = line
	}
	return where, bare
}

// near names the known key that is closest to an unknown one.
func near(key string, known []string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	best, dist := "", 3
	for _, k := range known {
		if d := distance(last, k); d < dist {
			best, dist = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", best)
}

// distance is the edit distance of two short words.
func distance(a, b string) int {
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

// Problem is an error at a key; the line is that of the key, else of the table that it would stand in.
func (k *Keys) Problem(key, format string, args ...any) error {
	line, ok := k.where[key]
	for up := key; !ok && up != ""; {
		if i := strings.LastIndexByte(up, '.'); i >= 0 {
			up = up[:i]
		} else {
			up = ""
		}
		if line, ok = k.where[up]; !ok && strings.HasSuffix(up, "]") { // an entry of an array that stands in one line
			line, ok = k.where[up[:strings.LastIndexByte(up, '[')]]
		}
	}
	return fmt.Errorf("%s:%d: %s: %s", k.file, max(line, 1), key, fmt.Sprintf(format, args...))
}

// keysOf lists all the keys that a struct takes.
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
