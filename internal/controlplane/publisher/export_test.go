package publisher

// PlantedFaults lists the faults that tests plant, by name.
var PlantedFaults = map[string]func(*Publisher){
	"a change misses every other session":        func(p *Publisher) { p.faults.skipEveryOtherSession = true },
	"snapshots are started for everybody":        func(p *Publisher) { p.faults.unboundedSnapshots = true },
	"a subscriber is current wherever it stands": func(p *Publisher) { p.faults.assumeCurrent = true },
	"deltas hold no deletions":                   func(p *Publisher) { p.faults.omitDeletions = true },
}
