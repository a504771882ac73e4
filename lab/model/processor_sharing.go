package model

import (
	"slices"
	"time"
)

// ProcessorSharing is a processor-sharing server: it serves all its jobs concurrently, as cores or a disk do. Up to
// capacity jobs run at full speed; more jobs share the capacity equally.
type ProcessorSharing struct {
	clock       Clock
	capacity    float64 // number of jobs that are served at full speed
	speed       float64 // 1 is the speed at which work is measured; 0 stops all jobs
	jobs        []*Job
	updatedAt   time.Duration
	cancelTimer func()
	Used        time.Duration // total work done for all jobs, as time at speed 1
}

// Job is a piece of work that a ProcessorSharing serves.
type Job struct {
	remaining float64 // remaining work, in nanoseconds at speed 1
	done      func()
}

// NewProcessorSharing returns a ProcessorSharing without jobs, at speed 1.
func NewProcessorSharing(c Clock, capacity float64) *ProcessorSharing {
	return &ProcessorSharing{clock: c, capacity: capacity, speed: 1, updatedAt: c.Now()}
}

// Add starts a job. work is the job's duration when it runs alone at speed 1. done is called when the job is complete.
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

// SetSpeed changes the speed.
func (s *ProcessorSharing) SetSpeed(speed float64) {
	if speed == s.speed {
		return
	}
	s.advance()
	s.speed = speed
	s.schedule()
}

// Len returns the number of jobs.
func (s *ProcessorSharing) Len() int { return len(s.jobs) }

// rate returns the progress of each job, as work at speed 1 per unit of time.
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

// schedule sets the timer for the job that will be complete next.
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

// completeJobs ends the jobs that are complete, in the order in which they were added.
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
