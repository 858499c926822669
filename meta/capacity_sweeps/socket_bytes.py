"""Payload bytes of a process's TCP connections, asked of the kernel
(NETLINK_SOCK_DIAG), without counters in the programs."""
import os
import socket
import struct

SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_DUMP = 0x301
DONE = 3
TCP_INFO = 2
ESTABLISHED = 1 << 1
HEADER = struct.Struct("=IHHII")
MESSAGE_BYTES = 72
# Of struct tcp_info: tcpi_bytes_acked and tcpi_bytes_received.
BYTES_ACKED = 120
BYTES_RECEIVED = 128


def _dump():
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP,
                       1 << (TCP_INFO - 1), 0, ESTABLISHED) + bytes(48)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       SOCK_DIAG) as kernel:
        kernel.send(HEADER.pack(HEADER.size + len(body), SOCK_DIAG_BY_FAMILY,
                                REQUEST_DUMP, 1, 0) + body)
        while True:
            block = kernel.recv(1 << 18)
            while block:
                length, kind = HEADER.unpack_from(block)[:2]
                if kind == DONE:
                    return
                yield block[HEADER.size:length]
                block = block[(length + 3) & ~3:]


def _connections():
    """inode -> (remote port, bytes sent, bytes received)."""
    found = {}
    for message in _dump():
        remote_port = struct.unpack_from("!H", message, 6)[0]
        inode = struct.unpack_from("=I", message, 68)[0]
        rest = message[MESSAGE_BYTES:]
        while len(rest) >= 4:
            length, kind = struct.unpack_from("=HH", rest)
            if kind == TCP_INFO and length >= 4 + BYTES_RECEIVED + 8:
                sent, received = struct.unpack_from("=QQ", rest,
                                                    4 + BYTES_ACKED)
                found[inode] = (remote_port, sent, received)
            rest = rest[max(4, (length + 3) & ~3):]
    return found


def _inodes(pid):
    inodes = set()
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[8:-1]))
    return inodes


class ByteWindow:
    """Bytes that a process sent and received on the connections that stood
    from the window's start to its end; short ones are missed. `ports` limits
    it to connections to these remote ports."""

    def __init__(self, pid, ports=None):
        self.pid = pid
        self.ports = ports
        self.before = self._read()

    def _read(self):
        own = _inodes(self.pid)
        return {inode: values for inode, values in _connections().items()
                if inode in own
                and (self.ports is None or values[0] in self.ports)}

    def bytes(self):
        """(sent, received)."""
        sent = received = 0
        for inode, (_, now_sent, now_received) in self._read().items():
            if inode in self.before:
                sent += now_sent - self.before[inode][1]
                received += now_received - self.before[inode][2]
        return sent, received
