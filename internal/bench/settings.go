package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Sections holds the keys and values of an INI file by section.
type Sections map[string]map[string]string

// Set sets the value of a key.
func (s Sections) Set(section, key, value string) {
	if s[section] == nil {
		s[section] = map[string]string{}
	}
	s[section][key] = value
}

// Text returns the content of the file, with sections and keys sorted.
func (s Sections) Text() string {
	var out strings.Builder
	for _, section := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&out, "[%s]\n", section)
		for _, key := range slices.Sorted(maps.Keys(s[section])) {
			fmt.Fprintf(&out, "%s = %s\n", key, s[section][key])
		}
	}
	return out.String()
}
