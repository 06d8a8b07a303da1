package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Guards against a request that is served for a customer that it does not prove to be, and against one that is refused although it
// does, or although no key is needed.
func TestRequestsAreIdentifiedByOneKey(t *testing.T) {
	table, err := routes.Build(&routes.Table{Customers: []routes.Customer{
		{Name: "one", Keys: []routes.KeyDigest{routes.DigestKey("k1"), routes.DigestKey("k2")}},
		{Name: "two", Keys: []routes.KeyDigest{routes.DigestKey("k3")}},
	}})
	require.NoError(t, err)
	closed, public := &routes.Route{}, &routes.Route{Public: true}
	for _, c := range []struct {
		name  string
		table *routes.Table
		route *routes.Route
		keys  []string
		want  string // The name of the customer, "-" for none without a refusal, or "" for a refusal.
	}{
		{"first key", table, closed, []string{"k1"}, "one"},
		{"second key", table, closed, []string{"k2"}, "one"},
		{"other customer", table, closed, []string{"k3"}, "two"},
		{"white space around the key", table, closed, []string{" \tk3  "}, "two"},
		{"unknown", table, closed, []string{"k4"}, ""},
		{"another case", table, closed, []string{"K1"}, ""},
		{"missing", table, closed, nil, ""},
		{"empty", table, closed, []string{""}, ""},
		{"only white space", table, closed, []string{" \t"}, ""},
		{"two headers", table, closed, []string{"k1", "k2"}, ""},
		{"the same key twice", table, closed, []string{"k1", "k1"}, ""},
		{"an empty second header", table, closed, []string{"k1", ""}, ""},
		{"list in one header", table, closed, []string{"k1, k2"}, ""},
		{"public route with a key", table, public, []string{"k1"}, "-"},
		{"public route with an unknown key", table, public, []string{"k4"}, "-"},
		{"public route without a key", table, public, nil, "-"},
		{"table without customers", &routes.Table{}, closed, []string{"k1"}, "-"},
	} {
		customer, refusal := Identify(c.table, c.route, c.keys, nil)
		switch c.want {
		case "":
			require.Nil(t, customer, c.name)
			require.Equal(t, KindUnauthorized, refusal.Kind, c.name)
			require.NotRegexp(t, "(?i)k[1-4]", refusal.Reason, c.name)
		case "-":
			require.Nil(t, customer, c.name)
			require.Nil(t, refusal, c.name)
		default:
			require.Nil(t, refusal, c.name)
			require.Equal(t, c.want, customer.Name, c.name)
		}
	}
}
