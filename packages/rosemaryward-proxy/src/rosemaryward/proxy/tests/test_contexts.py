import anyio
import pytest

from rosemaryward.proxy.contexts import ContextRunner

pytestmark = pytest.mark.looptime


class Recorder:
    def __init__(self):
        self.events = []

    async def __aenter__(self):
        self.task = anyio.get_current_task().id
        self.events.append("enter")
        return self

    async def __aexit__(self, *details):
        assert anyio.get_current_task().id == self.task
        self.events.append("exit")


async def test_context_is_exited_in_the_task_that_entered_it():
    """Guards against exiting a task group outside the task that entered it."""
    context = Recorder()
    async with anyio.create_task_group() as group:
        runner = ContextRunner(group)
        runner.start("a", context)
        await anyio.sleep(1)
        runner.stop("a")
        runner.stop("a")
        await anyio.sleep(1)
    assert context.events == ["enter", "exit"]


async def test_key_can_be_reused_while_the_old_context_exits():
    """Guards against stopping the new pool of an endpoint that is acquired again."""
    old, new = Recorder(), Recorder()
    async with anyio.create_task_group() as group:
        runner = ContextRunner(group)
        runner.start("a", old)
        await anyio.sleep(1)
        runner.stop("a")
        runner.start("a", new)
        await anyio.sleep(1)
        assert (old.events, new.events) == (["enter", "exit"], ["enter"])
        runner.stop("a")
    assert new.events == ["enter", "exit"]
