// Command scene2 plays the cases of the second review. It starts the gateway
// programs of the deploy file as separate processes on loopback addresses, with
// stand-ins of the store, the targets and the callers in its own process.
//
// It exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment, a case leaves out its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxRunTime ends a case that hangs. The cases take less than 90 seconds.
const maxRunTime = 110 * time.Second

var cases = map[string]func(*world) (string, error){
	"heads": openHeads,
	"lines": manyLines,
	"crash": forgottenCrashes,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and writes what was seen to the record.
func run(name, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	timeout := time.AfterFunc(maxRunTime, func() {
		w.note("the case took longer than %v", maxRunTime)
		w.close()
		os.Exit(failed)
	})
	defer timeout.Stop()
	violation, err := cases[name](w)
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case violation != "":
		w.note("BROKEN: %s", violation)
		fmt.Println("broken:", violation)
		return broken
	}
	w.note("HELD")
	fmt.Println("held")
	return held
}
