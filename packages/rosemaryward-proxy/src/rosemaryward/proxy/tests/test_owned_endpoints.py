import json

import pytest

from rosemaryward.decisions.document.checks import parse_document
from rosemaryward.decisions.document.tests.examples import example_values
from rosemaryward.decisions.routing.observer import NullObserver
from rosemaryward.decisions.routing.owner import OwnerService
from rosemaryward.decisions.types import EndpointId, Place
from rosemaryward.endpoints.connection import Credentials
from rosemaryward.proxy import owned_endpoints as owned_endpoints_module
from rosemaryward.proxy.owned_endpoints import OwnedEndpoints
from rosemaryward.proxy.supervisors import SupervisorRegistry

ENDPOINT = EndpointId("collections", "i0")


class Runner:
    """Records which contexts run."""

    def __init__(self):
        self.running = {}

    def start(self, key, context):
        self.running[key] = context

    def stop(self, key):
        del self.running[key]


class Supervisor:
    """Supervisor that only has the addresses of its instances."""

    def __init__(self, instances):
        self.instances = instances

    def set_owned_instances(self, instances):
        pass


def make_document(ports):
    """Return a document with other ports of some instances."""
    values = example_values()
    for instance, port in ports.items():
        values["databases"]["collections"]["instances"][instance]["port"] = port
    return parse_document(json.dumps(values).encode(), "document.json")


class OwnedScenario:
    """One endpoint that this proxy owns."""

    def __init__(self):
        self.runner = Runner()
        self.supervisors = SupervisorRegistry(
            Place("nam-bo", "nb-1"),
            self.runner,
            lambda database, section: Supervisor(section.instances),
            lambda database: None,
        )
        self.owner_service = OwnerService(lambda e: True, lambda e: None)
        self.owned = OwnedEndpoints(
            self.owner_service,
            self.supervisors,
            self.runner,
            Credentials("proxy", ""),
            1.0,
            NullObserver(),
        )
        self.owned.apply_document(make_document({}))
        self.owned.acquire(ENDPOINT)

    @property
    def access(self):
        return self.owner_service.endpoints[ENDPOINT].access


@pytest.mark.parametrize(
    "ports",
    [
        pytest.param({}, id="nothing-changes"),
        pytest.param({"i1": 7050}, id="address-of-another-instance"),
        pytest.param({"i0": 7050}, id="own-address"),
    ],
)
async def test_endpoint_uses_the_running_supervisor_after_a_change_of_addresses(ports):
    """Guards against refusing all statements with the view of a stopped supervisor."""
    run = OwnedScenario()
    run.owned.apply_document(make_document(ports))
    running = run.runner.running[ENDPOINT.database]
    assert run.access.group is running, "supervisor has stopped"


@pytest.mark.parametrize(
    ("ports", "expected"),
    [
        pytest.param({"i1": 7050}, 7000, id="address-of-another-instance"),
        pytest.param({"i0": 7050}, 7050, id="own-address"),
    ],
)
async def test_endpoint_connects_to_its_present_address(monkeypatch, ports, expected):
    """Guards against statements at an instance that is not the monitored one."""
    connected = []

    async def open_connection(host, port, *arguments):
        connected.append(port)

    monkeypatch.setattr(owned_endpoints_module, "open_connection", open_connection)
    run = OwnedScenario()
    run.owned.apply_document(make_document(ports))
    await run.runner.running[ENDPOINT].connect()
    assert connected == [expected], "connection to the former address"
