// Command mesh3 plays the cases of review/REPORT-3.md against processes of the project.
//
// # Usage
//
//	TROUBLE=0 target/mesh3 CASE RECORD
//
// It must run in the root of the project after the build of the deploy file. It ends with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// play is one case. It returns whether its rule was broken.
type play func(r *record, trouble bool) (broken bool, err error)

var plays = map[string]play{"twice": playTwice, "stale": playStale, "frozen": playFrozen, "innocent": playInnocent, "blank": playBlank}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: mesh3 CASE RECORD")
		return 2
	}
	r, trouble := newRecord(), os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](r, trouble)
	code := 0
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		code = 2
	case broken:
		r.add("the rule was broken")
		code = 1
	default:
		r.add("the rule held")
	}
	if err := r.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
