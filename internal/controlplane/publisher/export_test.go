package publisher

// PlantedFaults are the faults that tests plant, by name.
var PlantedFaults = map[string]func(*Publisher){
	"a change misses every other session":        func(p *Publisher) { p.faults.missIndex = true },
	"snapshots are started for everybody":        func(p *Publisher) { p.faults.unboundedSnapshots = true },
	"a subscriber is current wherever it stands": func(p *Publisher) { p.faults.resumeAnywhere = true },
	"deltas hold no deletions":                   func(p *Publisher) { p.faults.omitDeleted = true },
}
