"""Scenario files: load, floods and faults on a timeline."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import msgspec

__all__ = [
    "Action",
    "FaultStep",
    "FloodPlan",
    "IdleTransactions",
    "LoadPlan",
    "Scenario",
    "load_scenario",
    "load_scenarios",
]

Seconds = Annotated[float, msgspec.Meta(ge=0, le=300)]
Count = Annotated[int, msgspec.Meta(ge=0, le=400)]
RankName = Annotated[str, msgspec.Meta(pattern="^(urgent|normal|bulk)$")]


class Action(StrEnum):
    """What a fault does to its target."""

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    CUT = "cut"
    SLOW = "slow"
    LOSSY = "lossy"
    LAG = "lag"
    LEAVE = "leave"
    STORE = "store"
    CHANGE = "change"
    RACE = "race"


class FaultStep(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One fault of a scenario.

    Parameters
    ----------
    at_s : float
        Start in seconds after the start of the load.
    for_s : float
        Duration in seconds, 0 if the fault is not undone. Processes that were
        killed or terminated are not restarted.
    action : Action
    target : str
        Symbolic target name, resolved when the fault starts.
    peer : str
        Other end of a cut, slow or lossy link; ``*`` for all nodes and callers.
    extra_ms : float
        Added one-way latency of a slow link, delay of a slow store, or apply lag, in
        milliseconds.
    share : float
        Share of lost segments of a lossy link, or of lost answers of the store.
    down : bool
        Whether the store refuses all calls.
    """

    at_s: Seconds
    action: Action
    for_s: Seconds = 0.0
    target: str = ""
    peer: str = "*"
    extra_ms: float = 0.0
    share: float = 0.0
    down: bool = False


class FloodPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Writes of one rank that exceed the capacity of one primary.

    Parameters
    ----------
    rank : str
    times_capacity : float
        Offered load as a multiple of the capacity.
    start_s, end_s : float
        Seconds after the start of the load.
    """

    rank: RankName
    times_capacity: float
    start_s: Seconds
    end_s: Seconds


class IdleTransactions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Callers that hold a transaction open between two statements.

    Parameters
    ----------
    rank : str
    callers : int
        Number of callers.
    hold_s : float
        Seconds between the two statements.
    """

    rank: RankName
    callers: Count
    hold_s: Seconds


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Callers, floods and idle transactions of a scenario.

    Parameters
    ----------
    callers : dict of str to int
        Number of callers by rank.
    mix : dict of str to dict
        Replaced fields of the operation mix, by rank.
    databases : list of str
        Symbolic names of databases, such as ``first database``; all if empty.
    floods : list of FloodPlan
        Floods of the last database.
    idle_transactions : list of IdleTransactions
    """

    callers: dict[RankName, Count] = msgspec.field(
        default_factory=lambda: {"urgent": 8, "normal": 8, "bulk": 8}
    )
    mix: dict[RankName, dict[str, float]] = {}
    databases: list[str] = []
    floods: list[FloodPlan] = []
    idle_transactions: list[IdleTransactions] = []


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Scenario with its load and faults.

    Parameters
    ----------
    name : str
    measures : str
        Description of what the scenario measures.
    duration_s : float
        Duration of the load.
    seeds : list of int
        Seeds of the runs; the first is the default.
    service_time_ms, apply_lag_ms : float
        Service time and apply lag of the instances.
    load : LoadPlan
    faults : list of FaultStep
    promotions : int
        Number of promotions that the faults require.
    """

    name: str
    measures: str
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=300)]
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1]
    )
    service_time_ms: float = 5.0
    apply_lag_ms: float = 20.0
    load: LoadPlan = LoadPlan()
    faults: list[FaultStep] = []
    promotions: int = 0


def load_scenario(path: Path) -> Scenario:
    """Read one scenario file.

    Raises
    ------
    ValueError
        If the file is not a valid scenario or its name differs from the scenario.
    """
    try:
        data: Any = msgspec.yaml.decode(path.read_bytes())
        scenario = msgspec.convert(data, Scenario)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: {error}") from error
    if scenario.name != path.stem:
        raise ValueError(f"{path}: name: expected {path.stem!r}, got {scenario.name!r}")
    return scenario


def load_scenarios(folder: Path) -> dict[str, Scenario]:
    """Read all scenarios of a folder, by name."""
    return {path.stem: load_scenario(path) for path in sorted(folder.glob("*.yaml"))}
