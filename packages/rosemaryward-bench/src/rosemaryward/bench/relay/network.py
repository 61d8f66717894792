"""Simulated network between failure domains: latency, bandwidth and faults."""

import random

import anyio
import msgspec

__all__ = ["Fault", "NetworkSettings", "Network", "Node", "CALLERS"]

RETRANSMISSION_S = 0.2  # TCP's shortest retransmission timeout on Linux


class Node(msgspec.Struct, frozen=True):
    """A process with its region and failure domain.

    Parameters
    ----------
    name : str
    region, failure_domain : str
        Empty for callers.
    pid : int
        Process id, 0 if the relay need not recognise the node's connections.
    """

    name: str
    region: str = ""
    failure_domain: str = ""
    pid: int = 0


CALLERS = Node("callers")


class NetworkSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One-way latencies in seconds and the bandwidth between regions.

    Parameters
    ----------
    failure_domains, regions, callers : float
        Latency between failure domains, between regions, and to or from callers.
    region_bits_per_s : float
        Bandwidth in each direction, shared by all connections between two regions;
        0 for no limit.
    seed : int
        Seed of the random choice of delayed segments.
    """

    failure_domains: float = 0.0
    regions: float = 0.0
    callers: float = 0.0
    region_bits_per_s: float = 0.0
    seed: int = 0


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Network fault on the path from one set of nodes to another.

    Parameters
    ----------
    source, target : str
        Name of a node, a failure domain or a region; ``*`` for all.
    cut : bool
        Whether data waits until the fault is removed.
    extra_s : float
        Added one-way latency in seconds.
    loss : float
        Share of segments that arrive one retransmission timeout later, from 0 to 1.
    both_ways : bool
        Whether the fault also applies from `target` to `source`.
    """

    source: str
    target: str
    cut: bool = False
    extra_s: float = 0.0
    loss: float = 0.0
    both_ways: bool = True

    def applies_to(self, source: Node, target: Node) -> bool:
        """Whether data from `source` to `target` meets the fault."""
        if matches(self.source, source) and matches(self.target, target):
            return True
        return (
            self.both_ways
            and matches(self.source, target)
            and matches(self.target, source)
        )


def matches(selector: str, node: Node) -> bool:
    """Return whether a selector names the node, its failure domain or its region."""
    return selector in ("*", node.name, node.failure_domain, node.region)


class Network:
    """Computes the arrival times of data.

    Parameters
    ----------
    settings : NetworkSettings
    """

    def __init__(self, settings: NetworkSettings) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.faults: list[Fault] = []
        self.changed = anyio.Event()
        self.link_free_at: dict[tuple[str, str], float] = {}
        self.region_bytes: dict[str, int] = {}

    def set_faults(self, faults: list[Fault]) -> None:
        """Replace all active faults."""
        self.faults = faults
        self.changed.set()
        self.changed = anyio.Event()

    def is_cut(self, source: Node, target: Node) -> bool:
        """Return whether a fault blocks data from `source` to `target`."""
        return any(item.cut and item.applies_to(source, target) for item in self.faults)

    def latency_s(self, source: Node, target: Node) -> float:
        """Return the one-way latency in seconds without faults."""
        if CALLERS in (source, target):
            return self.settings.callers
        if source.region != target.region:
            return self.settings.regions
        if source.failure_domain != target.failure_domain:
            return self.settings.failure_domains
        return 0.0

    def arrival(self, source: Node, target: Node, size: int) -> float:
        """Return the event loop's time at which `size` bytes sent now arrive."""
        sent = anyio.current_time()
        if source.region and target.region and source.region != target.region:
            sent = self.transmit(source.region, target.region, size, sent)
        delay_s = self.latency_s(source, target)
        for item in self.faults:
            if item.applies_to(source, target):
                delay_s += item.extra_s
                if item.loss and self.random.random() < item.loss:
                    delay_s += RETRANSMISSION_S
        return sent + delay_s

    def transmit(self, source: str, target: str, size: int, now: float) -> float:
        """Queue bytes on the link between two regions; return when they are sent."""
        direction = f"{source}>{target}"
        self.region_bytes[direction] = self.region_bytes.get(direction, 0) + size
        rate = self.settings.region_bits_per_s
        if not rate:
            return now
        start = max(now, self.link_free_at.get((source, target), 0.0))
        self.link_free_at[source, target] = start + size * 8 / rate
        return self.link_free_at[source, target]
