package simwire

import "havencart/scheduler"

const (
	// workEstimateFlag says that a request's work estimate is set.
	workEstimateFlag = 1 << 0
	// coldStartValues is the number of values that an outcome's note reserves for the cold start; the queue depth
	// is in units of it.
	coldStartValues = 8
)

func (f *fieldReader) requestID() scheduler.RequestID { return scheduler.RequestID(f.u32()) }

func (f *fieldReader) request() scheduler.Request {
	var r scheduler.Request
	r.ID = f.requestID()
	r.Class = int(f.u16())
	r.Tenant = int(f.u32())
	r.Function = f.function()
	r.Timeout = f.duration()
	r.WorkEstimate = f.duration()
	r.ReplicaMemoryMB = f.f32()
	r.ReplicaConcurrency = max(1, int(f.f32()))
	r.LoadTimeEstimate = millis(f.f32())
	if f.u8()&workEstimateFlag == 0 {
		r.WorkEstimate = 0
	}
	return r
}

func (f *fieldReader) outcome() scheduler.Outcome {
	var o scheduler.Outcome
	o.Request = f.requestID()
	o.Attempt = int(f.u16())
	o.Worker = f.worker()
	o.Status = f.status()
	o.Latency = f.duration()
	o.RequestClosed = f.u8() != 0
	note := f.u8()
	o.ColdStart = scheduler.ColdStart(note % coldStartValues)
	o.QueueDepth = int(note / coldStartValues)
	o.LoadReport = f.loadReport()
	if o.ColdStart > scheduler.ColdStartFailed {
		f.fail("unknown note %d", note)
	}
	return o
}

func (f *fieldReader) healthCheck() scheduler.HealthCheckResult {
	var h scheduler.HealthCheckResult
	h.Worker = f.worker()
	h.Status = f.status()
	h.Latency = f.duration()
	h.LoadReport = f.loadReport()
	return h
}

func (f *fieldReader) load() scheduler.LoadResult {
	var l scheduler.LoadResult
	l.Worker = f.worker()
	l.Status = f.status()
	l.Latency = f.duration()
	l.Function = f.function()
	l.Replicas = int(f.u8())
	return l
}
