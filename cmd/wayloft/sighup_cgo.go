//go:build cgo && linux

package main

/*
#include <signal.h>
#include <string.h>

// SIGHUP asks a router to reload its configuration, but by default it ends a Go program until signal.Notify has been called. A router
// therefore ignores it from before the Go runtime starts; the runtime keeps it ignored until Notify has it delivered. No reload is missed,
// since the configuration is read after Notify. Only glibc passes the arguments to constructors.
#ifdef __GLIBC__
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
#endif
*/
import "C"
