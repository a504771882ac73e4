package model

import (
	"slices"
	"time"
)

// Shared serves jobs side by side, as cores or a disk do: alone a job takes its own time, and where more than
// places jobs are there they share what there is alike (processor sharing).
type ProcessorSharing struct {
	clock       Clock
	capacity    float64
	speed       float64 // 1: as told; 0: stands still
	jobs        []*Job
	updatedAt   time.Duration
	cancelTimer func()
	Used        time.Duration // work done so far, in time of one place at speed 1
}

// Job is one piece of work at a Shared.
type Job struct {
	remaining float64 // in ns at speed 1
	done      func()
}

// NewShared returns a Shared with places, at speed 1.
func NewProcessorSharing(c Clock, places float64) *ProcessorSharing {
	return &ProcessorSharing{clock: c, capacity: places, speed: 1, updatedAt: c.Now()}
}

// Add begins a job that takes work alone at speed 1; done is called at its end.
func (s *ProcessorSharing) Add(work time.Duration, done func()) *Job {
	s.advance()
	j := &Job{remaining: float64(max(0, work)), done: done}
	s.jobs = append(s.jobs, j)
	s.schedule()
	return j
}

// Remove takes a job away unfinished.
func (s *ProcessorSharing) Remove(j *Job) {
	s.advance()
	s.jobs = slices.DeleteFunc(s.jobs, func(x *Job) bool { return x == j })
	s.schedule()
}

// Clear takes all jobs away unfinished.
func (s *ProcessorSharing) Clear() {
	s.advance()
	s.jobs = nil
	s.schedule()
}

// SetSpeed changes the speed from now on.
func (s *ProcessorSharing) SetSpeed(speed float64) {
	if speed != s.speed {
		s.advance()
		s.speed = speed
		s.schedule()
	}
}

// Len is the number of jobs.
func (s *ProcessorSharing) Len() int { return len(s.jobs) }

// rate is the progress of each job.
func (s *ProcessorSharing) rate() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return s.speed * min(1, s.capacity/float64(len(s.jobs)))
}

// settle counts what was done since it was last called.
func (s *ProcessorSharing) advance() {
	now := s.clock.Now()
	part := s.rate() * float64(now-s.updatedAt)
	s.updatedAt = now
	for _, j := range s.jobs {
		j.remaining -= part
		s.Used += time.Duration(part)
	}
}

// plan sets the timer for the job that ends next.
func (s *ProcessorSharing) schedule() {
	if s.cancelTimer != nil {
		s.cancelTimer()
		s.cancelTimer = nil
	}
	rate := s.rate()
	if rate == 0 {
		return
	}
	least := s.jobs[0].remaining
	for _, j := range s.jobs {
		least = min(least, j.remaining)
	}
	s.cancelTimer = s.clock.After(time.Duration(max(0, least)/rate)+1, s.completeJobs)
}

// fire ends the jobs that are done, in the order in which they came.
func (s *ProcessorSharing) completeJobs() {
	s.advance()
	var done []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if j.remaining < 1 {
			done = append(done, j)
			return true
		}
		return false
	})
	s.schedule()
	for _, j := range done {
		j.done()
	}
}
