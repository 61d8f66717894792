import anyio
import pytest

from rosemaryward.platform.fakes.documents import encode_settings
from rosemaryward.platform.settings import read_settings
from rosemaryward.proxy.platform_node import SETTINGS_POLL_INTERVAL_S, PlatformNode

PORTS = [20_000, 20_001, 20_002, 20_003, 20_004]
STORE_PORT = 20_010
OTHER_STORE_PORT = 20_011


def write_settings(path, store_port):
    path.write_bytes(encode_settings("host-1", ("north", "a"), PORTS, store_port, 1))


async def watch_settings(node):
    with anyio.move_on_after(3 * SETTINGS_POLL_INTERVAL_S):
        await node._watch_settings()


@pytest.mark.parametrize(
    ("changed_before", "changed_at"),
    [
        pytest.param("node", 0.0, id="before-node-is-created"),
        pytest.param("watch", 0.0, id="before-watch-starts"),
        pytest.param("poll", SETTINGS_POLL_INTERVAL_S / 2, id="while-watched"),
    ],
)
async def test_settings_change_is_applied_whenever_file_changes(
    tmp_path, changed_before, changed_at
):
    path = tmp_path / "host.json"
    write_settings(path, STORE_PORT)
    settings = read_settings(path)
    if changed_before == "node":
        write_settings(path, OTHER_STORE_PORT)
    node = PlatformNode(settings, path)
    if changed_before == "watch":
        write_settings(path, OTHER_STORE_PORT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_settings, node)
        await anyio.sleep(changed_at)
        if changed_before == "poll":
            write_settings(path, OTHER_STORE_PORT)
    assert node.settings.store_address == f"127.0.0.1:{OTHER_STORE_PORT}"
