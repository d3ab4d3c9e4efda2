package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSpillAdmissionChangesArePublished checks that every change of whether a service
// admits spill, and every step of its spill level, is published, however many slots
// the service has.
func TestSpillAdmissionChangesArePublished(t *testing.T) {
	for _, slots := range []int{6, 27, 1000} {
		sent := ServiceLoad{Service: "shop", Slots: slots, SpillLevel: 1, SpillInUse: 1}
		freed, stepped, same := sent, sent, sent
		freed.SpillInUse = 0
		stepped.SpillLevel = 2
		require.True(t, loadDiffers(&sent, &freed), "%d slots: the one slot of spill is free again", slots)
		require.True(t, loadDiffers(&sent, &stepped), "%d slots: one more slot of spill is admitted", slots)
		require.False(t, loadDiffers(&sent, &same))
	}
}
