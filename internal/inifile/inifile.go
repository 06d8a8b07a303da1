// Package inifile reads INI files strictly and keeps the line number of every key, so that errors can name it.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// MaxBytes limits the size of one file.
const MaxBytes = 4 << 20

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section with its keys in the order of the file.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// File is a parsed INI file.
type File struct {
	Name     string
	Sections []Section
}

// Parse parses an INI file. It refuses keys outside a section, and sections and keys that occur twice, because a
// silently overridden key is a common cause of configuration mistakes.
func Parse(name string, data []byte) (*File, error) {
	if len(data) > MaxBytes {
		return nil, errs.New(errs.KindTooLarge, fmt.Sprintf("keep the file below %d bytes", MaxBytes), "%s has %d bytes", name, len(data))
	}
	if bytes.IndexByte(data, 0) >= 0 {
		return nil, errs.New(errs.KindInvalid, "save the file as plain text", "%s contains a zero byte", name)
	}
	lines, err := findLines(name, data)
	if err != nil {
		return nil, err
	}
	opts := ini.LoadOptions{IgnoreInlineComment: false, SkipUnrecognizableLines: false, KeyValueDelimiters: "="}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "write sections as [name] and keys as name = value", "%s is not an INI file", name)
	}
	f := &File{Name: name}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		section := strings.TrimSpace(s.Name())
		sec := Section{Name: s.Name(), Line: lines[entry{section, ""}]}
		for _, k := range s.Keys() {
			sec.Keys = append(sec.Keys, Key{Name: k.Name(), Value: k.Value(), Line: lines[entry{section, k.Name()}]})
		}
		f.Sections = append(f.Sections, sec)
	}
	return f, nil
}

// entry identifies a key of a section, or with an empty key the section itself.
type entry struct{ section, key string }

// findLines returns the line number of each section and key, and refuses repeated sections and keys.
func findLines(name string, data []byte) (map[entry]int, error) {
	lines := map[entry]int{}
	section := ""
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, MaxBytes+1)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(sc.Text())
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		e := entry{section: section}
		if text[0] == '[' {
			section = strings.TrimSpace(strings.TrimPrefix(strings.SplitN(text, "]", 2)[0], "["))
			e = entry{section: section}
		} else {
			e.key = strings.TrimSpace(strings.SplitN(text, "=", 2)[0])
			if section == "" {
				return nil, errs.New(errs.KindInvalid, "put the key below a [section] line", "%s:%d: key %q stands outside a section", name, n, e.key)
			}
		}
		if first, ok := lines[e]; ok {
			subject := fmt.Sprintf("section [%s]", e.section)
			if e.key != "" {
				subject = fmt.Sprintf("key %q of section [%s]", e.key, e.section)
			}
			return nil, errs.New(errs.KindInvalid, "keep one of the two", "%s:%d: %s stands already on line %d", name, n, subject, first)
		}
		lines[e] = n
	}
	return lines, sc.Err()
}
