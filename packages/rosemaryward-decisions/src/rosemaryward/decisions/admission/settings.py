"""Settings of admission control."""

import msgspec

__all__ = ["AdmissionSettings"]


class AdmissionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one admission queue.

    Parameters
    ----------
    initial_service_s : float
        Service time in seconds assumed for a rank before its first statement
        completes. If it is too small, the queue fills with statements that miss
        their deadlines.
    wait_margin_factor : float
        Factor on the estimated wait of an arriving statement before it is compared
        with the deadline. The estimated wait of a queued statement is divided by
        it, so a noisy estimate does not refuse a statement just admitted.
    usage_time_constant_s : float
        Time constant in seconds of the moving average of each rank's slot usage.
    floor_window_s : float
        Maximum time in seconds for which a rank pays back or catches up slot time.
    floor_slack_share : float
        Share of the slot time of `floor_window_s` that a rank must have in credit
        before its floor takes precedence over urgent statements.
    reserve_hold_s : float
        Time in seconds after the last urgent arrival for which slots are reserved.
    short_service_ratio : float
        No slot is reserved if the mean service times of the other ranks are at
        most this share of the p99 service time of urgent statements.
    late_latency_ratio, late_share_target : float
        An urgent statement is late if other ranks delayed it and its latency
        exceeds `late_latency_ratio` times the p99 service time. The reserve is
        adapted until the share `late_share_target` of urgent statements is late.
        The design target is a ratio of 1.5 and a share of 0.01.
    late_deadline_share : float or None
        If given, an urgent statement that other ranks delayed is late only if its
        latency exceeds this share of its deadline.
    minimum_reserve_slots : int
        Slots that are reserved even if no urgent statement is late.
    reserve_step_slots : float
        Slots by which one late urgent statement raises the reserve.
    reserve_poll_interval_s : float
        Interval in seconds at which a reserved free slot is offered again.
    minimum_retry_s, maximum_retry_s : float
        Bounds in seconds of the retry time that a refusal suggests.
    maximum_spread_s : float
        Upper bound in seconds of that time where tenants have weights; the returns
        of each tenant's refused requests are spread up to it.
    adaptive : bool
        Whether the number of running statements adapts to the measured latency.
    """

    initial_service_s: float = 0.05
    wait_margin_factor: float = 1.5
    usage_time_constant_s: float = 3.0
    floor_window_s: float = 10.0
    floor_slack_share: float = 0.003
    reserve_hold_s: float = 60.0
    short_service_ratio: float = 0.25
    late_latency_ratio: float = 1.3
    late_share_target: float = 0.007
    late_deadline_share: float | None = None
    minimum_reserve_slots: int = 1
    reserve_step_slots: float = 0.4
    reserve_poll_interval_s: float = 0.02
    minimum_retry_s: float = 0.02
    maximum_retry_s: float = 1.0
    maximum_spread_s: float = 5.0
    adaptive: bool = True
