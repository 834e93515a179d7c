package subscriber

// PlantedFaults are the faults that tests plant, by name.
var PlantedFaults = map[string]func(*Subscriber){
	"takes a snapshot behind what is in force":       func(s *Subscriber) { s.faults.acceptOldSnapshots = true },
	"takes a snapshot with a missing part":           func(s *Subscriber) { s.faults.acceptTornSnapshots = true },
	"compares no digests":                            func(s *Subscriber) { s.faults.ignoreDigests = true },
	"moves by a heartbeat whatever its digest":       func(s *Subscriber) { s.faults.moveUnchecked = true },
	"is fresh wherever the parent stands":            func(s *Subscriber) { s.faults.ageUnchecked = true },
	"keeps a silent parent":                          func(s *Subscriber) { s.faults.keepSilentParent = true },
	"keeps a source that is behind":                  func(s *Subscriber) { s.faults.ignoreLag = true },
	"asks for nothing again":                         func(s *Subscriber) { s.faults.neverAskAgain = true },
	"moves to a state that it refused":               func(s *Subscriber) { s.faults.keepRefused = true },
	"keeps from the process what a snapshot deletes": func(s *Subscriber) { s.faults.omitDeleted = true },
}
