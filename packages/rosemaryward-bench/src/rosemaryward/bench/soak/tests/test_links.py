import anyio
import pytest

from rosemaryward.bench.soak.links import Link, LinkState

ECHO_TIMEOUT_S = 0.3


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def start_link(tasks):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, echo)
    link = Link("test", listener.extra(anyio.abc.SocketAttribute.local_port))
    await link.listen(tasks)
    return link


async def echoes(stream):
    """Return whether an echo arrives before the timeout."""
    with anyio.move_on_after(ECHO_TIMEOUT_S):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


@pytest.mark.parametrize(
    "state", [LinkState.CUT, LinkState.CUT_ANSWERS, LinkState.CUT_REQUESTS]
)
async def test_cut_holds_back_data_until_its_end(state):
    """Guards against a cut that has no effect or that does not end."""
    async with anyio.create_task_group() as tasks:
        link = await start_link(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            assert await echoes(stream)
            link.set_state(state)
            assert not await echoes(stream)
            link.set_state(LinkState.GOOD)
            with anyio.fail_after(2):
                assert await stream.receive() == b"x"
        tasks.cancel_scope.cancel()


async def test_stalled_connection_stays_stalled_while_new_ones_work():
    """Guards against a stall that also affects new connections."""
    async with anyio.create_task_group() as tasks:
        link = await start_link(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as old:
            assert await echoes(old)
            link.stall()
            assert not await echoes(old)
            async with await anyio.connect_tcp("127.0.0.1", link.port) as new:
                assert await echoes(new)
        tasks.cancel_scope.cancel()


async def test_reset_ends_open_connections():
    """Guards against a reset that leaves connections open."""
    async with anyio.create_task_group() as tasks:
        link = await start_link(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            assert await echoes(stream)
            link.reset()
            with (
                anyio.fail_after(2),
                pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
            ):
                await stream.receive()
        tasks.cancel_scope.cancel()
