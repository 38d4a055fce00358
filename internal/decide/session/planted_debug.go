//go:build debug

package session

// Seeded breaks one thing on purpose, so that a test can show that its checker finds it. In a release build nothing
// can be seeded.
var Planted string
