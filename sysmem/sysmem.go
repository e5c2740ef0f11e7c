// Package sysmem reads how much memory the process may use, and how many descriptors.
package sysmem

import (
	"bufio"
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// maxPlausibleLimit is the limit, in bytes, from which a control group counts as unlimited.
const maxPlausibleLimit = 1 << 46

// cgroupLimitFiles hold the memory limit of the process in bytes, in version 2 and 1 of
// control groups.
var cgroupLimitFiles = [...]string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}

// CgroupLimit returns the memory limit of the control group of the process in bytes, or
// math.MaxInt64 if it has none.
func CgroupLimit() int64 {
	limit := int64(math.MaxInt64)
	for _, name := range cgroupLimitFiles {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 && n < maxPlausibleLimit {
			limit = min(limit, n)
		}
	}
	return limit
}

// Available returns the memory in bytes that the process may share with others: that of the VM,
// or less if its control group is limited. It returns 0 if neither is known.
func Available() int64 {
	available := CgroupLimit()
	if vm := vmMemory(); vm > 0 {
		available = min(available, vm)
	}
	if available == math.MaxInt64 {
		return 0
	}
	return available
}

// vmMemory returns the memory of the VM in bytes as the kernel reports it, or 0.
func vmMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}
			return kib << 10
		}
	}
	return 0
}

// Descriptors returns the number of descriptors that the process may have open (RLIMIT_NOFILE), or
// math.MaxInt if it has no limit.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, math.MaxInt)), nil
}
