package wire

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
)

// Guards against labels without one of their words, such as "run" for
// RUN_OUTCOME_NOT_RUN.
func TestLabel(t *testing.T) {
	for want, e := range map[string]protoreflect.Enum{
		"notRun":      RunOutcome_RUN_OUTCOME_NOT_RUN,
		"ready":       Phase_PHASE_READY,
		"engine":      TargetKind_TARGET_KIND_ENGINE,
		"unspecified": Reason_REASON_UNSPECIFIED,
		"granted":     ClaimOutcome_CLAIM_OUTCOME_GRANTED,
		"77":          Phase(77),
	} {
		assert.Equal(t, Label(e), want)
	}
}
