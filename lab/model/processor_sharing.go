package model

import (
	"slices"
	"time"
)

// ProcessorSharing serves jobs side by side, as cores or a disk do: alone a job takes its own time, and more jobs than
// the capacity share it equally.
type ProcessorSharing struct {
	clock       Clock
	capacity    float64 // jobs that are served at full speed
	speed       float64 // 1: the speed in which work is given; 0: stopped
	jobs        []*Job
	updatedAt   time.Duration
	cancelTimer func()
	Used        time.Duration // work done so far, at speed 1
}

// Job is one piece of work at a ProcessorSharing.
type Job struct {
	remaining float64 // nanoseconds at speed 1
	done      func()
}

// NewProcessorSharing returns one without jobs, at speed 1.
func NewProcessorSharing(c Clock, capacity float64) *ProcessorSharing {
	return &ProcessorSharing{clock: c, capacity: capacity, speed: 1, updatedAt: c.Now()}
}

// Add starts a job that takes work alone at speed 1. done is called at its end.
func (s *ProcessorSharing) Add(work time.Duration, done func()) *Job {
	s.advance()
	j := &Job{remaining: float64(max(0, work)), done: done}
	s.jobs = append(s.jobs, j)
	s.schedule()
	return j
}

// Remove removes an unfinished job.
func (s *ProcessorSharing) Remove(j *Job) {
	s.advance()
	s.jobs = slices.DeleteFunc(s.jobs, func(x *Job) bool { return x == j })
	s.schedule()
}

// Clear removes all jobs.
func (s *ProcessorSharing) Clear() {
	s.advance()
	s.jobs = nil
	s.schedule()
}

// SetSpeed changes the speed from now on.
func (s *ProcessorSharing) SetSpeed(speed float64) {
	if speed == s.speed {
		return
	}
	s.advance()
	s.speed = speed
	s.schedule()
}

// Len is the number of jobs.
func (s *ProcessorSharing) Len() int { return len(s.jobs) }

// rate is the progress of each job, in work at speed 1 per time.
func (s *ProcessorSharing) rate() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return s.speed * min(1, s.capacity/float64(len(s.jobs)))
}

// advance accounts for the work done since the last call.
func (s *ProcessorSharing) advance() {
	now := s.clock.Now()
	progress := s.rate() * float64(now-s.updatedAt)
	s.updatedAt = now
	for _, j := range s.jobs {
		j.remaining -= progress
		s.Used += time.Duration(progress)
	}
}

// schedule sets the timer for the job that ends next.
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

// completeJobs ends the jobs that are done, in the order in which they were added.
func (s *ProcessorSharing) completeJobs() {
	s.advance()
	var done []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if j.remaining >= 1 {
			return false
		}
		done = append(done, j)
		return true
	})
	s.schedule()
	for _, j := range done {
		j.done()
	}
}
