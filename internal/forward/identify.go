package forward

import (
	"fmt"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// TrimKey returns a key without the white space around it, which is not part of it.
func TrimKey(key string) string { return strings.Trim(key, " \t") }

// Identify returns the customer that holds the key of a request. It returns nil on a route that needs no key, where keys are not looked
// up. Where a key is needed and names no customer, it returns the refusal of the request, whose reason does not hold the key. removed
// tells a key that an earlier table had from one that is unknown.
func Identify(t *routes.Table, route *routes.Route, keys []string, removed *routes.RemovedKeys) (*routes.Customer, *Response) {
	if !t.NeedsKey(route) {
		return nil, nil
	}
	switch len(keys) {
	case 0:
		return nil, unauthorized("the request has no key")
	case 1:
	default:
		return nil, unauthorized("the request has more than one key")
	}
	key := TrimKey(keys[0])
	if key == "" {
		return nil, unauthorized("the key of the request is empty")
	}
	customer := t.CustomerOf(key)
	if customer == nil {
		if version, ok := removed.RemovedBy(key); ok {
			return nil, unauthorized(fmt.Sprintf("the key of the request was removed by version %d", version))
		}
		return nil, unauthorized("no customer holds the key of the request")
	}
	return customer, nil
}

func unauthorized(reason string) *Response { return &Response{Kind: KindUnauthorized, Reason: reason} }
