package rules

// memoryShare is the share of the memory that may be in use: the rest is for requests that are read
// before the next decision.
const memoryShare = 0.88

// exceedsMemory reports whether requests, idempotency records and extraKB would exceed memoryShare.
func (m *Module) exceedsMemory(extraKB float64) bool {
	return m.requestMemoryKB+extraKB+m.recordMemoryKB() > memoryShare*m.settings.MemoryKB
}
