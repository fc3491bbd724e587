//go:build !race

package coordinate

const raceEnabled = false
