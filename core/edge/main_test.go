package edge_test

import (
	"os"
	"testing"

	"caroblane/core/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }
