package main

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowPlay is how long clients that nobody controls come.
	slowPlay = 30 * time.Second
	// minTrying is how many clients try, by the rule RECOVER.
	minTrying = 7
)

// playSlow: clients that nobody controls send small bodies slowly. It returns true if the machine says that it is ready and takes no new
// connection for ContactMs while seven clients or more try.
func playSlow(r *rig) bool {
	r.deploy(2)
	stop := make(chan struct{})
	var players sync.WaitGroup
	results := make([][]attempt, len(r.machines))
	for i, m := range r.machines {
		players.Go(func() { results[i] = r.ordinary(m, stop) })
	}
	time.Sleep(3 * time.Second)
	c := crowd{clients: 2000, length: 200, atOnce: 1, pause: time.Second}
	var sent atomic.Int64
	if r.trouble {
		r.record("%d clients that nobody controls each send a body of %d bytes at one byte a second, at %s", c.clients, c.length, r.machines[0].name)
		players.Go(func() { c.play(r, r.machines[0], stop, &sent) })
	}
	time.Sleep(slowPlay)
	close(stop)
	players.Wait()
	broken := false
	for i, m := range r.machines {
		r.recordAttempts(m, results[i])
		over, ended, peak := m.ends()
		r.record("%s: at most %d kB were in use, MemoryMb is %d kB; processes ended: %d", m.name, peak, r.site.memoryMb<<10, over+ended)
		broken = r.takesNone(m, results[i]) || broken
	}
	r.record("requests of the clients that nobody controls: %d, run: none, as none was sent whole", sent.Load())
	return broken
}

// takesNone reports whether a machine was ready for ContactMs and answered no attempt of those that began in that time, which came from
// minTrying clients or more.
func (r *rig) takesNone(m *machine, all []attempt) bool {
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	var longest string
	most := time.Duration(0)
	for i := 0; i < len(all); i++ {
		trying := make(map[int]bool)
		j := i
		for ; j < len(all) && all[j].status == 0; j++ {
			trying[all[j].client] = true
		}
		if j == i {
			continue
		}
		from, to := all[i].at, all[j-1].at
		if span := to.Sub(from); span > most && len(trying) >= minTrying && m.readyBetween(from, to) {
			most = span
			longest = fmt.Sprintf("from %.3f to %.3f, %d attempts of %d clients", from.Sub(r.began).Seconds(), to.Sub(r.began).Seconds(), j-i, len(trying))
		}
		i = j
	}
	if most > 0 {
		r.record("%s: it was ready and took no new connection for %.3f s, %s", m.name, most.Seconds(), longest)
	}
	return most >= contactS*time.Second
}
