package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkMerge measures merging the replies of 10 and 54 shards, with 13 records each.
func BenchmarkMerge(b *testing.B) {
	for _, parts := range []int{10, 54} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			bodies := make([][]byte, parts)
			for i := range bodies {
				bodies[i] = make([]byte, 208)
				for j := range bodies[i] {
					bodies[i][j] = byte(random.Uint32())
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				Merge(bodies, 10)
			}
		})
	}
}
