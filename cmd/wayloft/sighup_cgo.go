//go:build cgo && linux

package main

/*
#include <signal.h>
#include <string.h>

// A request to read the configuration again ends a Go program by default until signal.Notify has run. It is ignored from before the
// Go runtime starts, where the process is a router; the runtime keeps that until Notify has it delivered. The configuration is read
// after Notify, so that nothing is missed. Only glibc gives a constructor the arguments.
#ifdef __GLIBC__
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
#endif
*/
import "C"
