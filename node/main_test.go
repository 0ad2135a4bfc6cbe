package node

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed is the default seed of the property tests. With a fixed seed they draw
// the same cases in each run, so that the result of CI is reproducible. The flag
// -rapid.seed overrides it.
const rapidSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
