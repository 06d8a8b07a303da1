package config

import "strings"

// automationWords maps words in section and key names to the reason why operators cannot set them: the system decides
// these values itself, and the error explains how.
var automationWords = map[string]string{
	"layout":      "partition layouts are announced by targets and committed once by the control group",
	"layouts":     "partition layouts are announced by targets and committed once by the control group",
	"partition":   "partition layouts are announced by targets and committed once by the control group",
	"partitions":  "partition layouts are announced by targets and committed once by the control group",
	"shard":       "targets announce the shards that they hold",
	"shards":      "targets announce the shards that they hold",
	"share":       "the data share of each shard is part of the committed layout",
	"shares":      "the data share of each shard is part of the committed layout",
	"seat":        "the control group assigns seats to VMs; only [system] seats, their number, is set by operators",
	"seats":       "the control group assigns seats to VMs; only [system] seats, their number, is set by operators",
	"leader":      "the control group elects its leader",
	"leaders":     "the control group elects its leader",
	"term":        "the control group elects its leader",
	"lease":       "leases of targets and seats are renewed by their holders",
	"leases":      "leases of targets and seats are renewed by their holders",
	"responsible": "responsible VMs are computed from the names of the VMs in each availability zone",
	"members":     "members of the control group are replaced by the control group itself",
	"claim":       "claims on orders are granted by the control group",
	"claims":      "claims on orders are granted by the control group",
	"snapshot":    "each query chooses its index snapshot",
	"targets":     "targets announce themselves",
	"target":      "targets announce themselves",
}

// automationReason returns the reason why operators cannot set a name that is not in the schema, or "" when the name
// refers to no decision of the system.
func automationReason(name string) string {
	words := strings.FieldsFunc(strings.ToLower(name), func(r rune) bool {
		return r == '_' || r == '-' || r == '.' || r == ' '
	})
	for _, w := range words {
		if reason, ok := automationWords[w]; ok {
			return reason
		}
	}
	return ""
}
