package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(m *mesh, trouble bool) (broken int, err error){
	"holds-missing": holdsMissing,
	"born-missing":  bornMissing,
	"seed-wiped":    seedWiped,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: mesh2 CASE FOLDER")
		os.Exit(2)
	}
	m, err := newMesh(os.Args[2])
	must(err)
	trouble := os.Getenv("TROUBLE") != "0"
	m.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](m, trouble)
	if err != nil {
		m.note("the case cannot run: %v", err)
	} else {
		m.note("the rule was broken %d times", broken)
	}
	m.close()
	switch {
	case err != nil:
		fmt.Println("cannot run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("broken", broken, "times")
		os.Exit(1)
	}
	fmt.Println("held")
}

// clients are callers on one host that send requests one after the other.
type clients struct {
	wg   sync.WaitGroup
	quit atomic.Bool
	sent atomic.Int64
}

// load starts n clients of a host. make returns the method, the path and the key of the next
// request; a negative key stands for none.
func (m *mesh) load(host, n int, budget time.Duration, next func() (method, path string, key int)) *clients {
	c := &clients{}
	for i := range n {
		c.wg.Go(func() {
			for j := 0; !c.quit.Load(); j++ {
				method, path, key := next()
				c.sent.Add(1)
				m.send(host, method, path, fmt.Sprintf("%d-%d-%d", host, i, j), key, budget)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return c
}

func (c *clients) stop() {
	c.quit.Store(true)
	c.wg.Wait()
}

// send sends a request of a client to the sidecar of its host and returns the status; 0 without a
// response.
func (m *mesh) send(host int, method, path, id string, key int, budget time.Duration) int {
	client := http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+m.address(host, m.ports.callers)+path, nil)
	must(err)
	r.Host = "mesh.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	m.note("client on host %d sends %s %s %s key %d", host, method, path, id, key)
	response, err := client.Do(r)
	if err != nil {
		m.note("%s is not answered: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	m.note("%s gets %d %v", id, response.StatusCode, err)
	return response.StatusCode
}

// drawWork returns how long a request takes, spread like the work of the sites: one in a hundred
// takes five times as long.
func (s site) drawWork() time.Duration {
	const spread = 0.5
	work := float64(s.work) * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	if rand.IntN(100) == 0 {
		work *= 5
	}
	return min(time.Duration(work), s.maxWork)
}
