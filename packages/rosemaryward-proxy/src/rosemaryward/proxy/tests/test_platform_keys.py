import pytest

from rosemaryward.decisions.mirror import StoredValue
from rosemaryward.platform.configuration import REGISTRATION_PREFIX, decode_endpoint
from rosemaryward.proxy.platform_keys import RecordSubscriber


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="not-utf-8"),
        pytest.param(b'{"a":' + b"[" * 5000, id="deeply-nested"),
    ],
)
def test_unreadable_value_is_treated_as_removed(value):
    """Guards against a foreign value in the store that ends the proxy."""
    removed = []

    def decode(name, stored):
        decode_endpoint(stored.key, stored.value, {})

    subscriber = RecordSubscriber(REGISTRATION_PREFIX, decode, removed.append)
    subscriber.apply_write(StoredValue(REGISTRATION_PREFIX + "i-1", value, 1))
    assert removed == ["i-1"]
