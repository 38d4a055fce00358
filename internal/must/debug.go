//go:build debug

package must

const debug = true
