//go:build !race

package reducer

const raceEnabled = false
