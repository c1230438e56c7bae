package group

// The methods below append one effect to the buffer. Frequent effects are taken
// from the arenas; rare ones are allocated and passed to add.

func (e *Effects) add(effect Effect) { e.List = append(e.List, effect) }

func (e *Effects) dispatch(v Dispatch)       { e.add(e.dispatches.put(v)) }
func (e *Effects) acknowledge(v Acknowledge) { e.add(e.acknowledges.put(v)) }
func (e *Effects) fail(v Fail)               { e.add(e.fails.put(v)) }
func (e *Effects) open(v OpenConn)           { e.add(e.opens.put(v)) }
func (e *Effects) close(v CloseConn)         { e.add(e.closes.put(v)) }
func (e *Effects) probe(v Probe)             { e.add(e.probes.put(v)) }
func (e *Effects) beat(v Beat)               { e.add(e.beats.put(v)) }
func (e *Effects) log(v Log)                 { e.add(e.logs.put(v)) }
func (e *Effects) wakeAt(v WakeAt)           { e.add(e.wakeAts.put(v)) }
