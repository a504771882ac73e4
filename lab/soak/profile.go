package soak

import "time"

// profile is what varies between runs by their seed, apart from the faults.
type profile struct {
	shortDeadlines     bool // clients and settings use deadlines of about a second
	clientsPerFrontEnd int
	meanRequestGap     time.Duration // of each client
}

const (
	// shortDeadlinesEvery selects the runs with short deadlines: those whose seed is a multiple of it.
	shortDeadlinesEvery = 2
	// shortDeadlineDivisor is the ratio of a class's deadline to the short one.
	shortDeadlineDivisor = 2.8
	// crowdEvery selects the runs with a crowd of clients: those whose seed is a multiple of it.
	crowdEvery = 3
	// defaultClients is the number of clients of each front end in other runs, and crowdFactor the ratio for a crowd, which
	// sends no more requests in all.
	defaultClients = 4
	crowdFactor    = 15
	meanRequestGap = 120 * time.Millisecond
)

// profileOf returns the profile of the run with the given seed.
func profileOf(seed uint64) profile {
	p := profile{shortDeadlines: seed%shortDeadlinesEvery == 0, clientsPerFrontEnd: defaultClients, meanRequestGap: meanRequestGap}
	if seed%crowdEvery == 0 {
		p.clientsPerFrontEnd *= crowdFactor
		p.meanRequestGap *= crowdFactor
	}
	return p
}

// deadline returns the longest timeout that a client of the class uses.
func (p profile) deadline(name ClassName) time.Duration {
	if p.shortDeadlines {
		return time.Duration(float64(classes[name].deadline) / shortDeadlineDivisor).Round(time.Millisecond)
	}
	return classes[name].deadline
}

// killAfter returns the earliest time after SIGTERM at which the platform may kill a front end.
func (p profile) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, name := range classNames {
		longest = max(longest, p.deadline(name))
	}
	return min(longest, maxKillDeadline) + killMargin
}
