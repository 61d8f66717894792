"""Lookup of the process that owns a connection, through Linux's sock_diag.

The kernel answers for one connection in less than 0.1 ms. Reading the table in /proc
takes 4 ms with thousands of connections on the machine and may miss a connection
while others open and close.
"""

import contextlib
import os
import socket
import struct
from collections.abc import Iterable

from rosemaryward.bench.relay.network import Node

__all__ = ["find_source"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBxI")
ADDRESSES = struct.Struct("!HH4s12x4s12x")
INTERFACE_AND_COOKIE = struct.Struct("=III")
INODE_OFFSET = HEADER.size + 68
ANSWER_BYTES = 4096

Address = tuple[str, int]


def find_source(local: Address, remote: Address, nodes: Iterable[Node]) -> Node | None:
    """Return the node that owns the connection from `local` to `remote`."""
    inode = find_inode(local, remote)
    if not inode:
        return None
    link = f"socket:[{inode}]"
    return next(
        (node for node in nodes if node.pid and owns_socket(node.pid, link)), None
    )


def find_inode(local: Address, remote: Address) -> int:
    """Return the inode of the TCP socket with these addresses, 0 if there is none."""
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES)
    body += ADDRESSES.pack(
        local[1], remote[1], socket.inet_aton(local[0]), socket.inet_aton(remote[0])
    )
    body += INTERFACE_AND_COOKIE.pack(0, NO_COOKIE, NO_COOKIE)
    size = HEADER.size + len(body)
    header = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    kinds = (socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG)
    with socket.socket(*kinds) as channel:
        channel.send(header + body)
        answer = channel.recv(ANSWER_BYTES)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def owns_socket(pid: int, link: str) -> bool:
    """Return whether a process has a file descriptor for a socket."""
    with contextlib.suppress(OSError), os.scandir(f"/proc/{pid}/fd") as entries:
        for entry in entries:
            with contextlib.suppress(OSError):
                if os.readlink(entry.path) == link:
                    return True
    return False
