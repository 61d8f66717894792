"""MySQL packets that a misbehaving client sends."""

import hashlib

__all__ = ["command", "login", "packet", "read_packet"]

CAPABILITIES = 0x0008_AA0D  # protocol 4.1, secure connection, database, plugin name
MAX_PACKET_BYTES = 1 << 24
CHARACTER_SET = 45  # utf8mb4
PLUGIN = b"mysql_native_password"
FIRST_SALT_BYTES = 8
SECOND_SALT_OFFSET = 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
SECOND_SALT_BYTES = 12
COM_QUERY = b"\x03"


def packet(payload: bytes, sequence: int = 0) -> bytes:
    """Return a packet with its header."""
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


def command(sql: str) -> bytes:
    """Return the packet of a statement."""
    return packet(COM_QUERY + sql.encode())


def read_packet(data: bytes) -> bytes:
    """Return the payload of the first packet."""
    return data[4 : 4 + int.from_bytes(data[:3], "little")]


def login(greeting: bytes, user: str, password: str, database: str) -> bytes:
    """Return the answer to the greeting of a server.

    Parameters
    ----------
    greeting : bytes
        Payload of the first packet that the server sent.
    user, password, database : str
        Account and database.
    """
    salts = greeting[greeting.index(b"\0") + 1 + 4 :]
    salt = salts[:FIRST_SALT_BYTES]
    salt += salts[SECOND_SALT_OFFSET : SECOND_SALT_OFFSET + SECOND_SALT_BYTES]
    first = hashlib.sha1(password.encode()).digest()
    second = hashlib.sha1(salt + hashlib.sha1(first).digest()).digest()
    proof = bytes(a ^ b for a, b in zip(first, second, strict=True))
    payload = CAPABILITIES.to_bytes(4, "little") + MAX_PACKET_BYTES.to_bytes(
        4, "little"
    )
    payload += bytes([CHARACTER_SET]) + bytes(23) + user.encode() + b"\0"
    payload += bytes([len(proof)]) + proof + database.encode() + b"\0" + PLUGIN + b"\0"
    return packet(payload, 1)
