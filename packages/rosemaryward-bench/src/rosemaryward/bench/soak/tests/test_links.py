import anyio
import pytest

from rosemaryward.bench.soak.links import Link, LinkState

QUICK_S = 0.3


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def start(tasks):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, echo)
    link = Link("test", listener.extra(anyio.abc.SocketAttribute.local_port))
    await link.run(tasks)
    return link


async def ask(stream):
    """Return whether an echo comes back soon."""
    with anyio.move_on_after(QUICK_S):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


@pytest.mark.parametrize(
    "state", [LinkState.CUT, LinkState.CUT_ANSWERS, LinkState.CUT_REQUESTS]
)
async def test_cut_holds_data_back_until_its_end(state):
    """Guards against a fault that does nothing or that lasts for good."""
    async with anyio.create_task_group() as tasks:
        link = await start(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            assert await ask(stream)
            link.change(state)
            assert not await ask(stream)
            link.change(LinkState.GOOD)
            with anyio.fail_after(2):
                assert await stream.receive() == b"x"
        tasks.cancel_scope.cancel()


async def test_silenced_connection_stays_silent_while_new_ones_work():
    """Guards against a silence that a new connection shares."""
    async with anyio.create_task_group() as tasks:
        link = await start(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as old:
            assert await ask(old)
            link.silence()
            assert not await ask(old)
            async with await anyio.connect_tcp("127.0.0.1", link.port) as new:
                assert await ask(new)
        tasks.cancel_scope.cancel()


async def test_reset_ends_open_connections():
    """Guards against a reset that a process does not notice."""
    async with anyio.create_task_group() as tasks:
        link = await start(tasks)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            assert await ask(stream)
            link.reset()
            with (
                anyio.fail_after(2),
                pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
            ):
                await stream.receive()
        tasks.cancel_scope.cancel()
