import asyncio
from pathlib import Path

import cappa
import pytest

from rosemaryward.bench.experiment.command import RunCommand, exit_code
from rosemaryward.bench.experiment.faults import FaultInjector
from rosemaryward.bench.experiment.result import RunResult, read_results, write_result
from rosemaryward.bench.experiment.scenario import (
    Action,
    FaultStep,
    load_scenario,
    load_scenarios,
)
from rosemaryward.bench.experiment.targets import TargetError, Targets
from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningProxy,
)

BENCHMARKS = Path(__file__).parents[7] / "benchmarks"
DOMAINS = {"s1": "south", "s2": "south", "n1": "north"}
NAMES = sorted(path.stem for path in BENCHMARKS.glob("*.yaml"))


def running_set() -> RunningDeployment:
    proxies = [
        RunningProxy(
            host_id=f"entry-{number}",
            host="",
            mysql_port=1,
            admin_url="",
            pid=number,
            region=region,
            failure_domain=domain,
        )
        for number, (domain, region) in enumerate(DOMAINS.items(), 1)
    ]
    endpoints = [
        RunningEndpoint(
            database=database,
            instance=domain,
            host="",
            port=1,
            pid=10 * number + index,
            region=region,
            failure_domain=domain,
            role="primary" if domain == "s1" else "replica",
        )
        for number, database in enumerate(("one", "two"), 1)
        for index, (domain, region) in enumerate(DOMAINS.items())
    ]
    return RunningDeployment(
        deployment="",
        environment="",
        proxies=proxies,
        endpoints=endpoints,
        databases=["one", "two"],
        users=[],
        admin_token="",
        store_url="",
        hosts_url="",
        tables={},
    )


def targets() -> Targets:
    running = running_set()
    primaries = {e.database: e for e in running.endpoints if e.role == "primary"}
    return Targets(running, primaries, {("one", "s1"): "entry-2"})


@pytest.mark.parametrize("name", NAMES)
def test_scenario_files_resolve(name):
    """Guards against a file that fails to decode or names an unknown target."""
    scenario = load_scenarios(BENCHMARKS)[name]
    assert scenario.measures
    for step in scenario.faults:
        assert step.at_s + step.for_s <= scenario.duration_s
        if step.target:
            known = step.target.replace("third", "second")
            known = known.replace(
                "owner of primary of second", "owner of primary of first"
            )
            assert targets().resolve(known).nodes


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("name: other\nmeasures: x\nduration_s: 1", "expected 'bad'"),
        (
            "name: bad\nmeasures: x\nduration_s: 1\nfaults: [{at_s: 1, action: burn}]",
            "burn",
        ),
        ("name: bad\nmeasures: x\nduration_s: 1\nspeed: 2", "speed"),
        ("name: bad\nmeasures: x\nduration_s: 0", "duration_s"),
    ],
)
def test_invalid_scenario_is_rejected(tmp_path, text, problem):
    """Guards against a misspelt field that is ignored or changes a run."""
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(ValueError, match=problem):
        load_scenario(path)


@pytest.mark.parametrize(
    ("name", "nodes"),
    [
        ("primary of first database", ["one-s1"]),
        ("primary of each database", ["one-s1", "two-s1"]),
        ("replica of first database", ["one-s2"]),
        ("near replica of last database", ["two-s2"]),
        ("remote replica of first database", ["one-n1"]),
        ("owner of primary of first database", ["entry-2"]),
        ("failure domain of primary of first database", ["s1"]),
        ("region of owner of primary of first database", ["south"]),
        ("proxies of failure domain of primary of first database", ["entry-1"]),
        ("instances of second region", ["one-n1", "two-n1"]),
        ("store", ["platform"]),
        ("*", ["*"]),
    ],
)
def test_target_names_resolve(name, nodes):
    """Guards against a fault that affects a process other than the named one."""
    assert targets().resolve(name).nodes == nodes


@pytest.mark.parametrize(
    "name",
    [
        "fourth database",
        "leader of first database",
        "owner of primary of second database",
        "third region",
    ],
)
def test_unknown_target_names_are_rejected(name):
    """Guards against a fault that silently affects nothing."""
    with pytest.raises(TargetError, match="target"):
        targets().resolve(name)


class RelayStub:
    def __init__(self) -> None:
        self.host = "127.0.0.1"
        self.sent: list[list[tuple[str, str]]] = []

    async def set_faults(self, faults) -> None:
        self.sent.append([(item.source, item.target) for item in faults])


def test_cut_of_failure_domain_ends_and_excludes_its_own_nodes():
    """Guards against a cut that does not end or that also cuts off callers."""
    relay = RelayStub()
    injector = FaultInjector(running_set(), relay, targets, None)
    step = FaultStep(
        at_s=0,
        for_s=0.01,
        action=Action.CUT,
        target="failure domain of primary of first database",
    )
    asyncio.run(injector.run(0.0, [step]))
    assert relay.sent == [[("s1", "s2"), ("s1", "n1")], []]
    assert injector.applied[0].databases == ["one", "two"]


def result(**fields) -> RunResult:
    return RunResult(
        scenario="steady", deployment="derwent", seed=1, duration_s=1.0, **fields
    )


@pytest.mark.parametrize(
    ("results", "code"),
    [
        ([], 1),
        ([result()], 0),
        ([result(), result(violations=["lost: one a: 0 rows"])], 1),
    ],
)
def test_exit_code(results, code):
    """Guards against a violation that the exit code does not report."""
    assert exit_code(results) == code


def test_result_is_unchanged_by_its_file(tmp_path):
    """Guards against a result that changes when it is written and read."""
    kept = result(reads=4, replica_reads=3, configuration_s=[0.5, None])
    write_result(tmp_path, kept)
    assert read_results(tmp_path) == [kept]


def test_unknown_scenario_is_rejected():
    """Guards against a misspelt name that leads to an empty, successful run."""
    with pytest.raises(cappa.Exit) as failure:
        RunCommand(names=["stedy"], benchmarks=BENCHMARKS).selected()
    assert failure.value.code == 2
