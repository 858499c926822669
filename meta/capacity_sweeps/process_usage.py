"""Processor time and memory of a process, from /proc."""
import dataclasses
import pathlib
import time

NANOSECONDS = 1e9
MEGABYTE = 1e6


def processor_seconds(pid):
    """Time on a processor of all threads. schedstat counts nanoseconds
    where /proc/PID/stat counts hundredths of a second; a thread that ends
    takes its part along, and these programs keep theirs."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            continue
    return total / NANOSECONDS


def resident_mb(pid):
    """Resident memory in MB (10^6 bytes)."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / MEGABYTE
    raise SystemExit(f"process {pid} has ended")


@dataclasses.dataclass
class ProcessorWindow:
    """Share of one core between its start and `percent()`."""

    pid: int

    def __post_init__(self):
        self.begin = time.monotonic()
        self.used = processor_seconds(self.pid)

    def percent(self):
        used = processor_seconds(self.pid) - self.used
        return 100.0 * used / (time.monotonic() - self.begin)
