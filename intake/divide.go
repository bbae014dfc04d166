package intake

import "time"

// Division is how a process divides its memory and descriptors among its interfaces.
type Division struct {
	Callers   Limits
	Processes Limits // other processes of the scheduler
	Readiness Limits // checks of the balancer, and metrics
}

const (
	connectionBytes = 32 << 10 // that an open connection costs at most, with FreeBytes and without the rest of its call
	freeBytes       = 8 << 10  // an ordinary call with its headers
	mebibyte        = 1 << 20

	connectionMemory = 4 // part of the memory for connections
	callerMemory     = 16
	processMemory    = 32
	readinessBytes   = 256 << 10

	callerDescriptors    = 0.375 // of the descriptors; what is left is for the store, the workers and calls to other processes
	processDescriptors   = 0.25
	readinessDescriptors = 1.0 / 64
	connectionsLeast     = 16
	unlimitedDescriptors = 1 << 20

	usualStall = 10 * time.Second
	usualWhole = 70 * time.Second // longer than any caller waits
)

// Within returns limits that a process with so much memory can afford for its callers.
func (l Limits) Within(memoryMB int64) Limits {
	memory := memoryMB * mebibyte
	price := connectionBytes - freeBytes + l.FreeBytes
	l.Connections = max(connectionsLeast, int(min(int64(l.Connections), memory/connectionMemory/price)))
	l.Bytes = min(l.Bytes, memory/callerMemory)
	return l
}

// Divide returns the limits of a process with so much memory and so many descriptors, 0 for
// no limit on these.
func Divide(memoryMB int64, descriptors int) Division {
	if descriptors <= 0 {
		descriptors = unlimitedDescriptors
	}
	memory := memoryMB * mebibyte
	affordable := float64(memory) / connectionMemory / connectionBytes
	open := float64(descriptors)
	both := callerDescriptors + processDescriptors
	limits := func(share float64, bytes int64) Limits {
		most := int(min(open*share, affordable*share/both))
		return Limits{
			Connections: max(connectionsLeast, most), Bytes: bytes, FreeBytes: freeBytes, Stall: usualStall, Whole: usualWhole,
		}
	}
	d := Division{
		Callers:   limits(callerDescriptors, memory/callerMemory),
		Processes: limits(processDescriptors, memory/processMemory),
		Readiness: limits(readinessDescriptors, readinessBytes),
	}
	d.Callers.Paced, d.Readiness.Paced = true, true // another process sends the calls of many callers
	return d
}
