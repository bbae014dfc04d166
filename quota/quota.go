// Package quota decides what the tasks of an organisation may take in each docket, so
// that all dockets together stay within its limit.
//
// Each docket holds a share of the limit. Shares are counted in parts of the whole limit
// and not in cores or megabytes, so that they stay valid whatever the limit becomes: what a
// docket may use is its share of the limit in force at its owner. A docket begins with an
// equal share. A Ledger holds what it has given to and got from others since. The giver
// stores a gift before it tells of it, as the total of all its gifts to that docket; so
// a message that is lost, repeated, late or out of order does no harm, and the sum of all
// shares never exceeds the whole.
//
// Shares alone do not bound what runs after a limit was lowered: a docket may run more than
// its share of the new limit. Settled tells when the others may rely on it again.
//
// The package does no input or output and reads no clock. No type is safe for concurrent use.
//
// Usage:
//
//	share := ledger.Share(number, dockets)
//	room := quota.Allowance(share, limit).Sub(used)
//	tasks := quota.Fits(room, limit, demand, waiting)
//	gift, owed := quota.Divide(mine, theirs)
package quota

import (
	"fmt"
	"math"
	"math/bits"
	"strings"

	"persimmonworks.example/persimmonworks/resource"
)

// Parts counts parts of the limit, Whole for all of it, resource by resource.
type Parts = resource.Vector

// Whole is the number of parts of a limit. It is a multiple of the numbers up to 16, so that
// small limits, such as those of accelerators, divide without loss.
const Whole = 720720 << 10

// All is the whole limit of each resource.
var All = Parts{MilliCPU: Whole, MemoryMB: Whole, Accelerators: Whole}

// Unlimited is the allowance of a resource without a limit. Sums of a few do not overflow.
const Unlimited = math.MaxInt64 / 8

// Initial returns the share with which a docket begins.
func Initial(number, dockets int) Parts {
	share := int64(Whole / dockets)
	if number == 0 {
		share += int64(Whole % dockets)
	}
	return Parts{MilliCPU: share, MemoryMB: share, Accelerators: share}
}

// Allowance returns what a share of the limit admits. A limit of 0 admits any amount.
func Allowance(share Parts, limit resource.Vector) resource.Vector {
	return combine(share, limit, func(share, limit int64) int64 {
		if limit <= 0 {
			return Unlimited
		}
		return scale(max(0, share), limit, Whole, false)
	})
}

// PartsOf returns the least share that admits the amount; 0 of a resource without a limit.
func PartsOf(amount, limit resource.Vector) Parts {
	return combine(amount, limit, func(amount, limit int64) int64 {
		if limit <= 0 {
			return 0
		}
		return scale(max(0, amount), Whole, limit, true)
	})
}

// Fits returns how many of the tasks, each with the demand, the room admits.
func Fits(room, limit, demand resource.Vector, tasks int) int {
	n := int64(tasks)
	fit := func(room, limit, demand int64) {
		if limit > 0 && demand > 0 {
			n = min(n, max(0, room)/demand)
		}
	}
	fit(room.MilliCPU, limit.MilliCPU, demand.MilliCPU)
	fit(room.MemoryMB, limit.MemoryMB, demand.MemoryMB)
	fit(room.Accelerators, limit.Accelerators, demand.Accelerators)
	return int(n)
}

// Exceeds reports whether the amount is above the limit by itself, so that it can never run.
func Exceeds(amount, limit resource.Vector) bool {
	return !Allowance(All, limit).Covers(amount)
}

// Settled reports whether what is used is within the share. It stays so until the limit is
// lowered, whoever owns the docket, since starts and gifts keep to it.
func Settled(share Parts, limit, used resource.Vector) bool {
	return Allowance(share, limit).Covers(used)
}

// Lowered reports whether any resource has a lower limit than before.
func Lowered(before, after resource.Vector) bool {
	return !Allowance(All, after).Covers(Allowance(All, before))
}

// Describe returns the amounts that a share of the limit admits, of the resources that have a
// limit.
func Describe(share Parts, limit resource.Vector) string {
	var text []string
	add := func(amount, limit int64, unit string) {
		if limit > 0 {
			text = append(text, fmt.Sprint(amount, unit))
		}
	}
	a := Allowance(share, limit)
	add(a.MilliCPU, limit.MilliCPU, "m")
	add(a.MemoryMB, limit.MemoryMB, "MB")
	add(a.Accelerators, limit.Accelerators, "acc")
	return strings.Join(text, " ")
}

// combine applies f to each resource.
func combine(v, w resource.Vector, f func(v, w int64) int64) resource.Vector {
	return resource.Vector{
		MilliCPU: f(v.MilliCPU, w.MilliCPU), MemoryMB: f(v.MemoryMB, w.MemoryMB), Accelerators: f(v.Accelerators, w.Accelerators),
	}
}

// scale returns n*factor/divisor, rounded down or up, and Unlimited if that is more. None
// may be negative.
func scale(n, factor, divisor int64, up bool) int64 {
	high, low := bits.Mul64(uint64(n), uint64(factor))
	if high >= uint64(divisor) {
		return Unlimited
	}
	q, rest := bits.Div64(high, low, uint64(divisor))
	if up && rest > 0 {
		q++
	}
	return int64(min(q, Unlimited))
}
