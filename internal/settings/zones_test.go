package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// Guards against a region that no configuration can name, because the settings have a space before it.
func TestZonesAndRegionsAreTrimmed(t *testing.T) {
	s, err := settings.Parse("test.ini", []byte("[vm]\ncluster = c\nname = n\navailability_zone = az-0\nzone_regions = az-0: north, az-1 :south\n"), kernel.SettingsKeys())
	require.NoError(t, err)
	require.Equal(t, map[model.AvailabilityZone]string{"az-0": "north", "az-1": "south"}, s.ZoneRegions)
}
