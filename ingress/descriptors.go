package ingress

import (
	"math/bits"
	"syscall"
)

// Descriptors returns how many descriptors the operating system lets this process open, 0 if
// it does not say.
func Descriptors() int {
	const most = 1 << 30
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, most))
}

// HostMemoryMB returns the memory of the host in MB, 0 if the operating system does not say.
func HostMemoryMB() int64 {
	const mebibyte = 1 << 20
	var i syscall.Sysinfo_t
	if err := syscall.Sysinfo(&i); err != nil {
		return 0
	}
	high, low := bits.Mul64(uint64(i.Totalram), uint64(max(1, i.Unit)))
	if high > 0 {
		return 0
	}
	return int64(low / mebibyte)
}
