package main

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// render fills in a template of the deploy file. It supports the placeholders and sections that the templates of the
// repository use.
func render(template string, fields map[string]any) (string, error) {
	return renderIn(template, fields, nil, "", false)
}

var tag = regexp.MustCompile(`\{\{([#^/]?)([^}]+)\}\}`)

func renderIn(template string, fields map[string]any, current any, key string, last bool) (string, error) {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(template)
		if at == nil {
			out.WriteString(template)
			return out.String(), nil
		}
		out.WriteString(template[:at[0]])
		mark, name := template[at[2]:at[3]], template[at[4]:at[5]]
		template = template[at[1]:]
		switch {
		case mark == "#":
			end := strings.Index(template, "{{/"+name+"}}")
			if end < 0 {
				return "", fmt.Errorf("section %s has no end", name)
			}
			text, err := renderSection(template[:end], lookup(fields, name), fields)
			if err != nil {
				return "", err
			}
			out.WriteString(text)
			template = template[end+len("{{/"+name+"}}"):]
		case mark != "":
			return "", fmt.Errorf("unsupported tag %s%s", mark, name)
		case name == ".":
			out.WriteString(text(current))
		case name == "@":
			out.WriteString(key)
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		default:
			out.WriteString(text(lookup(fields, name)))
		}
	}
}

func renderSection(body string, value any, fields map[string]any) (string, error) {
	switch v := value.(type) {
	case nil:
		return "", nil
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out strings.Builder
		for i, k := range keys {
			s, err := renderIn(body, fields, v[k], k, i == len(keys)-1)
			if err != nil {
				return "", err
			}
			out.WriteString(s)
		}
		return out.String(), nil
	}
	return renderIn(body, fields, value, "", true)
}

func lookup(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []string:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	}
	return fmt.Sprint(v)
}
