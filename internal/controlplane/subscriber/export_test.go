package subscriber

// PlantedFaults lists the faults that tests plant, by name.
var PlantedFaults = map[string]func(*Subscriber){
	"takes a snapshot behind what is in force":       func(s *Subscriber) { s.faults.acceptOldSnapshots = true },
	"takes a snapshot with a missing part":           func(s *Subscriber) { s.faults.acceptTornSnapshots = true },
	"compares no digests":                            func(s *Subscriber) { s.faults.ignoreDigests = true },
	"moves by a heartbeat whatever its digest":       func(s *Subscriber) { s.faults.advanceUnverified = true },
	"is fresh wherever the parent stands":            func(s *Subscriber) { s.faults.trustAnyAge = true },
	"keeps a silent parent":                          func(s *Subscriber) { s.faults.keepSilentParent = true },
	"keeps a source that is behind":                  func(s *Subscriber) { s.faults.ignoreLag = true },
	"asks for nothing again":                         func(s *Subscriber) { s.faults.neverRetry = true },
	"moves to a state that it refused":               func(s *Subscriber) { s.faults.advanceOnRefusal = true },
	"keeps from the process what a snapshot deletes": func(s *Subscriber) { s.faults.omitDeletions = true },
}
