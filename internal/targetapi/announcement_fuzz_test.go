package targetapi

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// Guards against announcements that crash an entry VM, or that are accepted but change when
// they are encoded and decoded again.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"depot","id":"leaf-1","availability_zone":"az-1","address":"127.0.0.1:9001","incarnation":1,"sequence":1,` +
		`"state":"serving","layout":{"number":1,"digest":"0","shards":[{"id":0,"share":0.5},{"id":1,"share":0.5}]},"shards":[1],` +
		`"index_versions":[7],"slots":2,"connection_limit":25,"load":{"in_flight":1,"queued":0},"lease_ms":3000}`))
	f.Add([]byte(`{"service":"depot","lease_ms":9223372036854775807}`))
	f.Add([]byte(`{"layout":{"shards":[{"id":0,"share":1e400}]}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		text, err := json.Marshal(Encode(a))
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(bytes.NewReader(text))
		if err != nil || !reflect.DeepEqual(a, again) {
			t.Fatalf("%+v was decoded again as %+v: %v", a, again, err)
		}
	})
}
