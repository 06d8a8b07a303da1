package forward

import "math/rand/v2"

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
