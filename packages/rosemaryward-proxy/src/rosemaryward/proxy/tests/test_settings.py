import cappa
import pytest

from rosemaryward.decisions.errors import SettingsError
from rosemaryward.proxy.settings import ProxySettings

REQUIRED = {
    "host-id": "entry-1",
    "region": "north",
    "failure-domain": "n1",
    "environment": "test",
    "store-url": "http://127.0.0.1:1",
}


def _parse(changes):
    values = {**REQUIRED, **changes}
    argv = [f"--{name}={value}" for name, value in values.items() if value is not None]
    return cappa.parse(ProxySettings, argv=argv)


def test_defaults_are_valid():
    """Guards against a default that the checks reject."""
    settings = _parse({})
    settings.check()
    assert (settings.mysql_port, settings.grace_s) == (3306, 30.0)


def test_environment_variable(monkeypatch):
    """Guards against a setting that can only be given as a flag."""
    monkeypatch.setenv("ROSEMARYWARD_HOST_ID", "entry-9")
    assert _parse({"host-id": None}).host_id == "entry-9"


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        pytest.param({"host-id": None}, "--host-id", id="missing"),
        pytest.param({"host-id": "a b"}, "--host-id", id="space-in-name"),
        pytest.param({"host": "localhost"}, "--host", id="name-for-address"),
        pytest.param({"mysql-port": 70000}, "--mysql-port", id="port"),
        pytest.param({"grace-s": -1}, "--grace-s", id="negative-grace"),
        pytest.param({"weight": 0}, "--weight", id="no-weight"),
        pytest.param({"store-url": "127.0.0.1:1"}, "--store-url", id="no-scheme"),
        pytest.param({"seed-peer": "127.0.0.1"}, "--seed-peer", id="no-port"),
        pytest.param({"seed-peer": "x:7402"}, "--seed-peer", id="seed-name"),
        pytest.param({"certificate": "c.pem"}, "--key", id="no-key"),
        pytest.param({"peer-identity": "c.pem"}, "--peer-authority", id="no-authority"),
        pytest.param({"host": "10.0.0.1"}, "--peer-identity", id="unprotected-peers"),
        pytest.param({"advertise-host": "x"}, "--advertise-host", id="advertised"),
    ],
)
def test_error_names_the_invalid_setting(changes, named):
    """Guards against an error that does not name the invalid setting."""
    with pytest.raises(SettingsError, match=named):
        _parse(changes).check()
