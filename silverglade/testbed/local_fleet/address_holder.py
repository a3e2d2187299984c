"""Which process of this machine listens at an address, for the message that it is taken (result code 706)."""

from __future__ import annotations

import os
import socket
import struct
from pathlib import Path

LISTENING = "0A"
"""The state of a listening socket in /proc/net/tcp."""


def process_listening_at(address: str) -> int | None:
    """Return the id of a process that listens at IP:PORT (IPv4), or None where the system does not tell."""
    ip, _, port = address.rpartition(":")
    (number,) = struct.unpack("=I", socket.inet_aton(ip))
    wanted = f"{number:08X}:{int(port):04X}"
    try:
        rows = [line.split() for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]]
    except OSError:
        return None
    inodes = {row[9] for row in rows if row[1] == wanted and row[3] == LISTENING}
    return _owner_of_socket({f"socket:[{inode}]" for inode in inodes})


def _owner_of_socket(names: set[str]) -> int | None:
    """Return a process that has one of these sockets open."""
    for descriptor in Path("/proc").glob("[0-9]*/fd/*"):
        try:
            if os.readlink(descriptor) in names:
                return int(descriptor.parts[2])
        except OSError:
            continue
    return None
