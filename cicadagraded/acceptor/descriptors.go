package acceptor

import "golang.org/x/sys/unix"

const (
	// defaultDescriptors is assumed if the limit can't be read.
	defaultDescriptors = 1024
	// maxDescriptors bounds what a process without a limit counts on.
	maxDescriptors = 1 << 20
)

// DescriptorLimit returns how many file descriptors the process may open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
