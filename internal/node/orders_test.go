package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against grants that targets reject because they last too long.
func TestGrantsKeepTheLimitOfTargets(t *testing.T) {
	is := is.New(t)
	n := &Process{settings: Settings{MaxGrant: 2 * time.Second}}
	is.Equal(n.grantDuration(4*time.Second), 2*time.Second)
	is.Equal(n.grantDuration(time.Second), time.Second)
	n.settings.MaxGrant = 0
	is.Equal(n.grantDuration(4*time.Second), 4*time.Second)
}
