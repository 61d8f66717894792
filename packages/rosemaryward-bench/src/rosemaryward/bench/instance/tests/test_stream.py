import asyncio

from rosemaryward.bench.instance.tests.support import group

PING_PACKET = b"\x01\x00\x00\x00\x0e"
# Capabilities for protocol 4.1, secure connection and authentication plug-ins;
# user "u" without a password.
LOGIN_PAYLOAD = (
    bytes.fromhex("00820800") + bytes(4) + b"\xff" + bytes(23) + b"u\0" + b"\0"
)
LOGIN_PAYLOAD += b"mysql_native_password\0"


async def read_packet(reader):
    header = await reader.readexactly(4)
    return await reader.readexactly(int.from_bytes(header[:3], "little"))


async def test_header_that_arrives_in_pieces():
    """Guards against a connection that fails when TCP splits a packet header."""
    async with group(1) as (primary,):
        reader, writer = await asyncio.open_connection("127.0.0.1", primary.port)
        await read_packet(reader)
        writer.write(bytes([len(LOGIN_PAYLOAD), 0, 0, 1]) + LOGIN_PAYLOAD)
        assert (await read_packet(reader))[0] == 0
        writer.write(PING_PACKET[:2])
        await asyncio.sleep(0.05)
        writer.write(PING_PACKET[2:])
        assert (await read_packet(reader))[0] == 0
        writer.close()
