"""Evaluation of a finished run: measures and violations of invariants."""

from rosemaryward.bench.experiment.faults import AppliedFault
from rosemaryward.bench.experiment.load import FLOOD_PREFIX
from rosemaryward.bench.experiment.measures import (
    config_delays,
    cut_requests,
    done_shares,
    longest_write_pause,
    refusal_latency,
    replica_share,
    reverted_versions,
    statement_count,
)
from rosemaryward.bench.experiment.result import Gap, RunResult
from rosemaryward.bench.experiment.run import Run
from rosemaryward.bench.experiment.scenario import Action
from rosemaryward.bench.experiment.targets import node_name
from rosemaryward.bench.history.checker import Report, check_history
from rosemaryward.bench.history.operations import Kind, Operation, Outcome
from rosemaryward.bench.load.measures import RankService, failover_gap, rank_service

__all__ = ["Evaluation", "evaluate"]

RANKS = ("urgent", "normal", "bulk")
FAILURES = (Action.KILL, Action.CUT, Action.PAUSE)
LEAVING_GRACE_S = 3.0
TAKEOVER_WINDOW_S = 6.0
DRAIN_WINDOW_S = 10.0
SHOWN_FINDINGS = 20


def evaluate(run: Run) -> RunResult:
    """Return the measures and violations of a run."""
    return Evaluation(run).result()


class Evaluation:
    """Computes the result of one run.

    Parameters
    ----------
    run : Run
        Finished run.
    """

    def __init__(self, run: Run) -> None:
        self.run = run
        self.start, self.end = run.start, run.end
        self.operations = run.recorder.operations
        self.faults = run.injector.applied

    def result(self) -> RunResult:
        """Return the result with all measures and violations."""
        run = self.run
        report = check_history(self.operations)
        replica, reads = replica_share(run.counters.samples, self.start, self.end)
        flooded = self.flood_writes()
        return RunResult(
            scenario=run.scenario.name,
            deployment=run.running.deployment,
            seed=run.seed,
            duration_s=run.scenario.duration_s,
            replica_reads=replica,
            reads=reads,
            gaps=self.gaps(),
            takeovers=self.takeovers(),
            service=self.service(
                self.without_floods(self.operations), self.start, self.end
            ),
            unloaded=self.unloaded(),
            flooded=self.flooded(),
            flood_shares=done_shares(flooded),
            goodput=self.goodput(flooded),
            refusal_p99_s=refusal_latency(flooded or self.operations, 0.99),
            promotions=self.promotions(),
            expected_promotions=run.scenario.promotions,
            cut_by_drain=self.cut_by_drain(),
            configuration_s=self.configuration_delays(),
            work_after_leaving=self.work_after_leaving(),
            region_bytes=run.region_bytes,
            link_bytes=run.link_bytes,
            faults=report.counts,
            violations=self.violations(report),
        )

    def without_floods(self, operations: list[Operation]) -> list[Operation]:
        """Return the operations without those of flooding callers."""
        return [
            item for item in operations if not item.session.startswith(FLOOD_PREFIX)
        ]

    def service(
        self, operations: list[Operation], start: float, end: float
    ) -> dict[str, RankService]:
        """Return the service of each rank between two times."""
        chosen = [item for item in operations if start <= item.start < end]
        return {rank: rank_service(chosen, rank, end - start) for rank in RANKS}

    def flood_span(self) -> tuple[float, float] | None:
        """Return the time span of all floods, without 1 s of build-up; None if none."""
        floods = self.run.scenario.load.floods
        if not floods:
            return None
        start = self.start + max(item.start_s for item in floods) + 1.0
        return start, self.start + min(item.end_s for item in floods)

    def flooded_operations(self) -> list[Operation]:
        """Return the operations at the flooded database."""
        database = self.run.running.databases[-1]
        return [item for item in self.operations if item.database == database]

    def flood_writes(self) -> list[Operation]:
        """Return the writes at the flooded database during floods."""
        span = self.flood_span()
        if span is None:
            return []
        return [
            item
            for item in self.flooded_operations()
            if item.kind is Kind.WRITE and span[0] <= item.start < span[1]
        ]

    def unloaded(self) -> dict[str, RankService]:
        """Return the service at the flooded database before the flood."""
        floods = self.run.scenario.load.floods
        if not floods:
            return {}
        until = self.start + min(item.start_s for item in floods)
        return self.service(
            self.without_floods(self.flooded_operations()), self.start, until
        )

    def flooded(self) -> dict[str, RankService]:
        """Return the service at the flooded database during the flood."""
        span = self.flood_span()
        return (
            {}
            if span is None
            else self.service(self.without_floods(self.flooded_operations()), *span)
        )

    def goodput(self, flooded: list[Operation]) -> float:
        """Return the writes done during the flood as a share of the capacity."""
        span = self.flood_span()
        if span is None:
            return 0.0
        done = sum(item.outcome is Outcome.DONE for item in flooded)
        return done / (span[1] - span[0]) / self.run.capacity_per_s()

    def gaps(self) -> list[Gap]:
        """Return the failover gap of each primary that failed."""
        return [
            Gap(
                database=database,
                at_s=fault.at - self.start,
                gap_s=failover_gap(self.operations, database, fault.at),
            )
            for fault in self.faults
            if fault.action in FAILURES
            for database in fault.databases
        ]

    def takeovers(self) -> list[Gap]:
        """Return the write pause of each database whose primary lost its owner."""
        return [
            Gap(
                database=database,
                at_s=fault.at - self.start,
                gap_s=longest_write_pause(
                    self.operations,
                    database,
                    fault.at,
                    min(fault.at + TAKEOVER_WINDOW_S, self.end),
                ),
            )
            for fault in self.faults
            if fault.action in (Action.KILL, Action.PAUSE)
            for database in fault.owned
        ]

    def promotions(self) -> int:
        """Return the number of promotions since the load began."""
        return sum(
            item.kind is Kind.PRIMARY and item.start >= self.start
            for item in self.operations
        )

    def cut_by_drain(self) -> int:
        """Return the requests that drains interrupted."""
        return sum(
            cut_requests(self.operations, host, fault.at, fault.at + DRAIN_WINDOW_S)
            for fault in self.faults
            if fault.action is Action.TERMINATE
            for host in fault.nodes
        )

    def configuration_delays(self) -> list[float | None]:
        """Return the seconds until each accepted change was in force at all proxies.

        None stands for a change that did not reach all proxies.
        """
        accepted = [
            (change.at, change.version)
            for operator in self.run.injector.operators
            for change in operator.accepted
        ]
        hosts = list(self.run.status.views)
        return config_delays(sorted(accepted), self.run.status.versions, hosts)

    def work_after_leaving(self) -> int:
        """Return the number of statements at leaving instances after the grace time."""
        return sum(
            statement_count(
                self.run.counters.samples,
                endpoint.database,
                endpoint.instance,
                fault.at + LEAVING_GRACE_S,
                self.end,
            )
            for fault in self.removals()
            for endpoint in self.run.running.endpoints
            if node_name(endpoint) in fault.nodes
        )

    def removals(self) -> list[AppliedFault]:
        """Return the faults that announced the removal of instances."""
        return [item for item in self.faults if item.action is Action.LEAVE]

    def violations(self, report: Report) -> list[str]:
        """Return a description of each violation."""
        found = [
            f"{finding.fault}: {finding.database} {finding.key}: {finding.detail}"
            for finding in report.findings[:SHOWN_FINDINGS]
        ]
        found += [f"not observed: {item}" for item in self.run.incomplete]
        if work := self.work_after_leaving():
            found.append(f"leaving instances received {work} statements after 3 s")
        if cut := self.cut_by_drain():
            found.append(f"a drain interrupted {cut} requests")
        for sample in reverted_versions(self.run.status.versions):
            found.append(f"{sample.host_id} went back to version {sample.version}")
        if self.promotions() > self.run.scenario.promotions:
            found.append(
                f"{self.promotions()} primaries opened, "
                f"expected at most {self.run.scenario.promotions}"
            )
        return found + self.change_violations()

    def change_violations(self) -> list[str]:
        """Return the violations by accepted configuration changes."""
        accepted = [
            change.version
            for operator in self.run.injector.operators
            for change in operator.accepted
        ]
        found = []
        if len(set(accepted)) < len(accepted):
            found.append("two operators were given the same version")
        late = sum(delay is None for delay in self.configuration_delays())
        if late:
            found.append(f"{late} accepted changes were not in force everywhere")
        return found
