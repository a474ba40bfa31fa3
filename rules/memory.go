package rules

const memoryShare = 0.88 // of the memory: room for what is read meanwhile

// exceedsMemory reports whether requests, records and extraKB more would take too much of the memory.
func (m *Module) exceedsMemory(extraKB float64) bool {
	return m.requestMemoryKB+extraKB+m.recordMemoryKB() > memoryShare*m.settings.MemoryKB
}
