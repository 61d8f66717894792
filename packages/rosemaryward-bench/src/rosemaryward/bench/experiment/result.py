"""Result of one run and its JSON file."""

from pathlib import Path

import msgspec

from rosemaryward.bench.load.measures import RankService

__all__ = ["Gap", "RunResult", "read_results", "result_path", "write_result"]


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """Time without writes after a failure; `gap_s` is None if no write followed."""

    database: str
    at_s: float
    gap_s: float | None


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Measures and violations of one run.

    Parameters
    ----------
    scenario, deployment : str
    seed : int
    duration_s : float
    replica_reads, reads : int
        Reads outside transactions at replicas and at all instances.
    gaps : list of Gap
        Failover gaps.
    takeovers : list of Gap
        Longest time without an acknowledged write at the databases whose primary
        belonged to a proxy that failed.
    service : dict of str to RankService
        Service by rank in the whole run, without flooding callers.
    unloaded, flooded : dict of str to RankService
        Service by rank at the flooded database before and during floods; empty
        without floods.
    flood_shares : dict of str to float
        Share of each rank in the operations done at the flooded database.
    goodput : float
        Operations done during floods as a share of the capacity.
    refusal_p99_s : float
        Latency of refusals of all ranks, only during floods if there are any.
    promotions, expected_promotions : int
    cut_by_drain : int
        Requests that the drain of a proxy interrupted.
    configuration_s : list of float or None
        Time until each accepted change was in force at all proxies; None if it was
        not observed there.
    work_after_leaving : int
        Statements at leaving instances later than 3 s after the announcement.
    region_bytes : dict of str to int
        Bytes between regions by direction, as the relay counted them.
    link_bytes : dict of str to float
        Bytes between regions by purpose, as the proxies counted them.
    faults : dict of str to int
        Violations of the invariants by kind.
    violations : list of str
    """

    scenario: str
    deployment: str
    seed: int
    duration_s: float
    replica_reads: int = 0
    reads: int = 0
    gaps: list[Gap] = []
    takeovers: list[Gap] = []
    service: dict[str, RankService] = {}
    unloaded: dict[str, RankService] = {}
    flooded: dict[str, RankService] = {}
    flood_shares: dict[str, float] = {}
    goodput: float = 0.0
    refusal_p99_s: float = 0.0
    promotions: int = 0
    expected_promotions: int = 0
    cut_by_drain: int = 0
    configuration_s: list[float | None] = []
    work_after_leaving: int = 0
    region_bytes: dict[str, int] = {}
    link_bytes: dict[str, float] = {}
    faults: dict[str, int] = {}
    violations: list[str] = []

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated."""
        return not self.violations

    @property
    def replica_read_share(self) -> float:
        """Share of reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0


def result_path(out: Path, scenario: str, deployment: str, seed: int) -> Path:
    """Return the path of the files of one run, without a suffix."""
    return out / "experiments" / f"{scenario}-{deployment}-{seed}"


def write_result(out: Path, result: RunResult) -> Path:
    """Write a result as JSON and return its path."""
    base = result_path(out, result.scenario, result.deployment, result.seed)
    base.parent.mkdir(parents=True, exist_ok=True)
    path = base.with_name(f"{base.name}.json")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    return path


def read_results(out: Path) -> list[RunResult]:
    """Read all results below the output folder."""
    paths = sorted((out / "experiments").glob("*.json"))
    return [msgspec.json.decode(path.read_bytes(), type=RunResult) for path in paths]
