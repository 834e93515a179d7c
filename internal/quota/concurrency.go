package quota

// Concurrency bounds how many functions run at the same time.
type Concurrency chan struct{}

// NewConcurrency returns a bound of limit functions, at least one.
func NewConcurrency(limit int) Concurrency { return make(Concurrency, max(1, limit)) }

// Run waits until fewer functions than the limit run, and then runs f, which must not block.
func (c Concurrency) Run(f func()) {
	c <- struct{}{}
	defer func() { <-c }()
	f()
}
