"""Waits of the calls to the store, derived from the bounds of the deployment."""

import msgspec

__all__ = ["READER_MAX_READ_AGE_S", "StoreTiming"]

CALL_TIMEOUT_S = 1.2  # between two bytes; a slow store answers within 0.25 s
PROBE_INTERVAL_S = 0.5
CONFIRM_INTERVAL_S = 1.5
WATCH_CATCH_UP_S = 0.5  # a watch still behind after this time has missed changes
READER_MAX_READ_AGE_S = 2.5  # a reader with an older last read lost the store

MIN_BOUND_S = 1.5  # shorter bounds would end calls that are only slow

# Largest shares of the shortest bound; see docs/design/platform.md for their sum.
CALL_TIMEOUT_SHARE = 0.4
PROBE_INTERVAL_SHARE = 1 / 6
CONFIRM_INTERVAL_SHARE = 1 / 2
WATCH_CATCH_UP_SHARE = 1 / 6
READER_READ_AGE_SHARE = 3 / 4
SECOND_WATCH_SHARE = 0.8


class StoreTiming(msgspec.Struct, frozen=True):
    """Waits of the calls to the store.

    Parameters
    ----------
    call_timeout_s : float
        Longest wait for the next byte of an answer, in seconds.
    probe_interval_s : float
        Time between two probes of a store that does not answer, in seconds.
    confirm_interval_s : float
        Time between two reads of the confirmed prefix, in seconds.
    watch_catch_up_s : float
        Time after a read within which the watch has to reach its revision, in seconds.
    reader_max_read_age_s : float
        Age of the last read above which a reader is not followed, in seconds.
    allows_second_watch : bool
        Whether a watch that is behind may be replaced by another one before all values
        are listed.
    """

    call_timeout_s: float = CALL_TIMEOUT_S
    probe_interval_s: float = PROBE_INTERVAL_S
    confirm_interval_s: float = CONFIRM_INTERVAL_S
    watch_catch_up_s: float = WATCH_CATCH_UP_S
    reader_max_read_age_s: float = READER_MAX_READ_AGE_S
    allows_second_watch: bool = True

    @classmethod
    def within(cls, bound_s: float) -> "StoreTiming":
        """Return waits after which changes are in force within a bound.

        Parameters
        ----------
        bound_s : float
            Shortest bound of the deployment on the age of what is in force, in
            seconds.
        """
        bound_s = max(bound_s, MIN_BOUND_S)
        confirm_interval_s = min(CONFIRM_INTERVAL_S, bound_s * CONFIRM_INTERVAL_SHARE)
        watch_catch_up_s = min(WATCH_CATCH_UP_S, bound_s * WATCH_CATCH_UP_SHARE)
        second_check_s = 2 * confirm_interval_s + watch_catch_up_s
        return cls(
            call_timeout_s=min(CALL_TIMEOUT_S, bound_s * CALL_TIMEOUT_SHARE),
            probe_interval_s=min(PROBE_INTERVAL_S, bound_s * PROBE_INTERVAL_SHARE),
            confirm_interval_s=confirm_interval_s,
            watch_catch_up_s=watch_catch_up_s,
            reader_max_read_age_s=min(
                READER_MAX_READ_AGE_S, bound_s * READER_READ_AGE_SHARE
            ),
            allows_second_watch=second_check_s <= bound_s * SECOND_WATCH_SHARE,
        )
