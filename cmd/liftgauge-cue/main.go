// Command liftgauge-cue checks a settings file and writes it as JSON. liftgauge runs it to read its settings, so that the
// daemon itself need not hold a CUE evaluator.
package main

import (
	"fmt"
	"os"

	"liftgauge/internal/settings/cuefile"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: liftgauge-cue FILE")
		os.Exit(2)
	}
	json, err := cuefile.Load(os.Args[1])
	if err == nil {
		_, err = os.Stdout.Write(json)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
