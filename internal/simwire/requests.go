package simwire

import "havencart/scheduler"

const (
	// workEstimateFlag is the flag that marks a request's work estimate as valid.
	workEstimateFlag = 1 << 0
	// coldStartValues is the number of note values that are reserved for the cold start. The note byte of an outcome is
	// the cold start plus coldStartValues times the queue depth.
	coldStartValues = 8
)

func (f *fieldReader) requestID() scheduler.RequestID { return scheduler.RequestID(f.u32()) }

func (f *fieldReader) request() scheduler.Request {
	var request scheduler.Request
	request.ID = f.requestID()
	request.Class = int(f.u16())
	request.Tenant = int(f.u32())
	request.Function = f.function()
	request.Timeout = f.duration()
	request.WorkEstimate = f.duration()
	request.ReplicaMemoryMB = f.f32()
	request.ReplicaConcurrency = max(1, int(f.f32()))
	request.LoadTimeEstimate = millis(f.f32())
	if f.u8()&workEstimateFlag == 0 {
		request.WorkEstimate = 0
	}
	return request
}

func (f *fieldReader) outcome() scheduler.Outcome {
	var outcome scheduler.Outcome
	outcome.Request = f.requestID()
	outcome.Attempt = int(f.u16())
	outcome.Worker = f.worker()
	outcome.Status = f.status()
	outcome.Latency = f.duration()
	outcome.RequestClosed = f.u8() != 0
	note := f.u8()
	outcome.ColdStart = scheduler.ColdStart(note % coldStartValues)
	outcome.QueueDepth = int(note / coldStartValues)
	outcome.LoadReport = f.loadReport()
	if outcome.ColdStart > scheduler.ColdStartFailed {
		f.fail("unknown note %d", note)
	}
	return outcome
}

func (f *fieldReader) healthCheck() scheduler.HealthCheckResult {
	var result scheduler.HealthCheckResult
	result.Worker = f.worker()
	result.Status = f.status()
	result.Latency = f.duration()
	result.LoadReport = f.loadReport()
	return result
}

func (f *fieldReader) load() scheduler.LoadResult {
	var result scheduler.LoadResult
	result.Worker = f.worker()
	result.Status = f.status()
	result.Latency = f.duration()
	result.Function = f.function()
	result.Replicas = int(f.u8())
	return result
}
