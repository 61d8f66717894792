"""Intervals, timeouts and limits of monitoring and failover."""

__all__ = ["GroupSettings"]


class GroupSettings:
    """Intervals, timeouts and limits of one database group's supervision.

    Parameters
    ----------
    primary_interval_s : float
        Interval of status requests at the owner of the primary, in seconds.
    interval_s : float
        Interval of status requests at the other owners, in seconds.
    suspect_after_s : float
        Shortest time without an answer, in seconds, before the primary is suspected.
    final_timeout_s : float
        Timeout in seconds of the last failed request before a suspicion. It
        exceeds the round trip of a link whose one-way latency rose to 0.2 s.
    min_timeout_s : float
        Lower limit in seconds of the timeout of earlier requests.
    min_failures : int
        Consecutive failed requests before a suspicion on a link without loss.
    min_lossy_failures : int
        Consecutive failed requests before a suspicion after a recent loss, which
        may be the first of many.
    max_failures : int
        Consecutive failed requests before a suspicion on a link with high loss.
    lease_s : float
        Validity of a read lease in seconds, counted from the time at which the
        status request was sent.
    long_poll_s : float
        Longest time in seconds for which an instance holds a status request.
    retry_pause_s : float
        Pause in seconds after a request that failed immediately, such as a refused
        connection.
    proposer_stagger_s : float
        Delay in seconds of a proposer for each owner before it in the rendezvous
        order.
    no_primary_timeout_s : float
        Time in seconds for which a term may have no primary before it is superseded.
        It exceeds the lease and the round trips of a promotion.
    term_raise_timeout_s : float
        Timeout in seconds for raising the term on a majority.
    command_timeout_s : float
        Shortest timeout in seconds of one control operation before it is retried.
    open_timeout_s : float
        Time in seconds for which `InstanceControl.open_writes` is retried.
    apply_timeout_s : float
        Timeout in seconds for the chosen instance to apply what it has received.
    backoff_s : float
        Mean pause in seconds after the first failed promotion. It doubles with each
        further failure, up to eight times this value.
    """

    __slots__ = (
        "apply_timeout_s",
        "backoff_s",
        "command_timeout_s",
        "final_timeout_s",
        "interval_s",
        "lease_s",
        "long_poll_s",
        "max_failures",
        "min_failures",
        "min_lossy_failures",
        "min_timeout_s",
        "no_primary_timeout_s",
        "open_timeout_s",
        "primary_interval_s",
        "proposer_stagger_s",
        "retry_pause_s",
        "suspect_after_s",
        "term_raise_timeout_s",
    )

    def __init__(  # noqa: PLR0913 - one argument per setting
        self,
        *,
        primary_interval_s: float = 0.1,
        interval_s: float = 0.2,
        suspect_after_s: float = 0.4,
        final_timeout_s: float = 0.42,
        min_timeout_s: float = 0.08,
        min_failures: int = 3,
        min_lossy_failures: int = 5,
        max_failures: int = 8,
        lease_s: float = 0.25,
        long_poll_s: float = 0.1,
        retry_pause_s: float = 0.1,
        proposer_stagger_s: float = 0.15,
        no_primary_timeout_s: float = 0.6,
        term_raise_timeout_s: float = 0.6,
        command_timeout_s: float = 0.15,
        open_timeout_s: float = 1.0,
        apply_timeout_s: float = 30.0,
        backoff_s: float = 0.15,
    ) -> None:
        self.primary_interval_s = primary_interval_s
        self.interval_s = interval_s
        self.suspect_after_s = suspect_after_s
        self.final_timeout_s = final_timeout_s
        self.min_timeout_s = min_timeout_s
        self.min_failures = min_failures
        self.min_lossy_failures = min_lossy_failures
        self.max_failures = max_failures
        self.lease_s = lease_s
        self.long_poll_s = long_poll_s
        self.retry_pause_s = retry_pause_s
        self.proposer_stagger_s = proposer_stagger_s
        self.no_primary_timeout_s = no_primary_timeout_s
        self.term_raise_timeout_s = term_raise_timeout_s
        self.command_timeout_s = command_timeout_s
        self.open_timeout_s = open_timeout_s
        self.apply_timeout_s = apply_timeout_s
        self.backoff_s = backoff_s
