package model

import (
	"slices"
	"time"
)

// Shared serves jobs side by side, as cores or a disk do: alone a job takes its own time, and where more than
// places jobs are there they share what there is alike (processor sharing).
type Shared struct {
	clock  Clock
	places float64
	speed  float64 // 1: as told; 0: stands still
	jobs   []*Job
	at     time.Duration
	stop   func()
	Used   time.Duration // work done so far, in time of one place at speed 1
}

// Job is one piece of work at a Shared.
type Job struct {
	left float64 // in ns at speed 1
	done func()
}

// NewShared returns a Shared with places, at speed 1.
func NewShared(c Clock, places float64) *Shared {
	return &Shared{clock: c, places: places, speed: 1, at: c.Now()}
}

// Add begins a job that takes work alone at speed 1; done is called at its end.
func (s *Shared) Add(work time.Duration, done func()) *Job {
	s.settle()
	j := &Job{left: float64(max(0, work)), done: done}
	s.jobs = append(s.jobs, j)
	s.plan()
	return j
}

// Remove takes a job away unfinished.
func (s *Shared) Remove(j *Job) {
	s.settle()
	s.jobs = slices.DeleteFunc(s.jobs, func(x *Job) bool { return x == j })
	s.plan()
}

// Clear takes all jobs away unfinished.
func (s *Shared) Clear() {
	s.settle()
	s.jobs = nil
	s.plan()
}

// SetSpeed changes the speed from now on.
func (s *Shared) SetSpeed(speed float64) {
	if speed != s.speed {
		s.settle()
		s.speed = speed
		s.plan()
	}
}

// Len is the number of jobs.
func (s *Shared) Len() int { return len(s.jobs) }

// rate is the progress of each job.
func (s *Shared) rate() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return s.speed * min(1, s.places/float64(len(s.jobs)))
}

// settle counts what was done since it was last called.
func (s *Shared) settle() {
	now := s.clock.Now()
	part := s.rate() * float64(now-s.at)
	s.at = now
	for _, j := range s.jobs {
		j.left -= part
		s.Used += time.Duration(part)
	}
}

// plan sets the timer for the job that ends next.
func (s *Shared) plan() {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
	rate := s.rate()
	if rate == 0 {
		return
	}
	least := s.jobs[0].left
	for _, j := range s.jobs {
		least = min(least, j.left)
	}
	s.stop = s.clock.After(time.Duration(max(0, least)/rate)+1, s.fire)
}

// fire ends the jobs that are done, in the order in which they came.
func (s *Shared) fire() {
	s.settle()
	var done []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if j.left < 1 {
			done = append(done, j)
			return true
		}
		return false
	})
	s.plan()
	for _, j := range done {
		j.done()
	}
}
