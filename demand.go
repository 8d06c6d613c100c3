package vetchtrail

import "time"

// ServiceDemand is what the callers of this host's region ask of a service and what the
// region's endpoints can process. Work is measured in prompt tokens that an endpoint has to
// process, and rates in such tokens per second.
type ServiceDemand struct {
	Supply  float64       // rate that the usable endpoints of the region can process
	Classes []ClassDemand // in no particular order
	Returns []PlannedReturn
	Hosts   int           // live hosts of the region, at least 1
	Age     time.Duration // age of the oldest measurement that is included
}

// ClassDemand is the demand of the requests that admission treats alike.
type ClassDemand struct {
	Priority  int8
	Workspace string  // empty: none, or one of the smallest that are summed up
	Return    bool    // retries of callers that were refused before
	Weight    float64 // for fair shares between workspaces; 0: the same as others without a weight
	Asked     float64 // rate that callers ask for
	Admitted  float64 // rate that was admitted
}

// PlannedReturn is the work of callers that were told to retry at about the same time.
type PlannedReturn struct {
	Priority int8
	At       time.Time
	Work     float64
}

// DemandTable holds the demand for each service, from this host's callers and from other hosts.
type DemandTable interface {
	// Demand returns the demand for a service in this region.
	Demand(service string, now time.Time) ServiceDemand
	// Work estimates the work of a request.
	Work(r *Request) float64
}

// Admission decides which requests a host admits while a service is short of capacity.
type Admission interface {
	// InForce reports whether admission applies to a service.
	InForce(service string, now time.Time) bool
	// Admit decides on a request that its caller sent to this host. It also counts the request as
	// demand, and must be called once for each.
	Admit(r *Request, now time.Time) AdmissionVerdict
}

// AdmissionVerdict is the result of Admission.Admit with the figures that decided.
type AdmissionVerdict struct {
	Admitted bool
	Shortage bool          // more is asked for than can be processed
	Asked    float64       // rate that all callers of the region ask for
	Supply   float64       // rate that the region's endpoints can process
	Share    float64       // fraction of the request's class that is admitted, 0 to 1
	Age      time.Duration // age of the oldest measurement that was used
}

// ReturnPlanner decides when the callers of refused requests should retry.
type ReturnPlanner interface {
	// Plan returns when the caller of a request that was refused for lack of capacity should
	// retry. ok is false if it can't be served in its time: the time is then that at which
	// the shortage probably ends, which is after the request's deadline. The time is zero if
	// the planner can't decide, as nothing is known of the demand.
	Plan(r *Request, now time.Time) (at time.Time, ok bool)
	// Ended records the outcome of a request that its caller sent to this host. CallerCanRetry
	// is that of its arrival: without it, the caller was probably refused before.
	Ended(r *Request, o Outcome, now time.Time)
}
