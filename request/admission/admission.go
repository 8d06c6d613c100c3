// Package admission decides which requests a host admits while a service is short of capacity.
// It is pure: it does no I/O and reads no clock, and demand, supply and time are arguments.
// Package demand measures and exchanges them and keeps the state.
//
// There are two ways behind the interface Controller. RegionShares divides the supply of the
// region over what all hosts' callers ask for. DelayControl uses only what one host sees itself.
package admission

import (
	"time"

	"vetchtrail"
)

// Class identifies the requests that admission treats alike.
type Class struct {
	Priority  int8
	Return    bool   // the caller was probably refused before
	Workspace string // empty: none, or one of the smallest, which are summed up
}

// ClassOf returns the class of a request.
func ClassOf(r *vetchtrail.Request) Class {
	return Class{Priority: r.Priority, Return: !r.CallerCanRetry, Workspace: r.Workspace}
}

func classOfDemand(d vetchtrail.ClassDemand) Class {
	return Class{Priority: d.Priority, Return: d.Return, Workspace: d.Workspace}
}

// State is what is known of a service when shares are computed.
type State struct {
	Classes   []vetchtrail.ClassDemand // the Controller may reorder them
	Supply    float64                  // tokens per second that the endpoints can process; 0: not known
	Granted   float64                  // spare rate of other regions that all priorities may use
	GrantedTo map[int8]float64         // further such rates, by the only priority that may use them
	Wait      time.Duration            // mean predicted wait of the lowest priority at the endpoints
	Objective time.Duration            // latency objective of the lowest priority; 0: not known
	Queued    int                      // requests queued at the endpoints
}

// asked returns the total demand.
func (s *State) asked() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Asked
	}
	return sum
}

// Controller decides which requests one host admits for one service. It is not safe for
// concurrent use.
type Controller interface {
	// Update takes the newest state into account.
	Update(s State, now time.Time)
	// Share returns the fraction of the requests of a class that is admitted, 0 to 1.
	Share(c Class) float64
	// Admit decides on a request of a class. It must be called once for each.
	Admit(c Class) bool
}
