"""Accounting of one rank: slot usage, floor credit and mean service time."""

from rosemaryward.decisions.admission.settings import AdmissionSettings

__all__ = ["RankAccount"]

SERVICE_MEAN_SAMPLES = 32  # statements in the moving average of service times
INITIAL_AVERAGING_TIME_S = 0.3  # idle time that a new account assumes
MAX_CREDIT_WINDOW_SHARE = 0.2  # share of the floor window that a rank may catch up
MAX_SPARE_DEBT_WINDOW_SHARE = 0.05  # debt limit for spare capacity, same unit


class RankAccount:
    """Mean service time, slot usage and floor credit of one rank.

    Parameters
    ----------
    floor : float
        Share of slot time that is guaranteed to the rank, 0 to 1.
    settings : AdmissionSettings

    Notes
    -----
    `credit_s` is in slot seconds. It grows at the floor's rate and shrinks by the
    slot time that the rank uses. A rank with queued statements and a credit of at
    least 0 is entitled to a slot. The use of capacity that no other rank needed
    lowers the credit by a bounded amount only. Otherwise a rank that had the
    endpoint for itself would later wait for minutes.
    """

    __slots__ = (
        "averaging_time_s",
        "credit_s",
        "floor",
        "floor_running",
        "mean_service_s",
        "mean_slots_used",
        "service_samples",
        "settings",
        "spare_running",
    )

    def __init__(self, floor: float, settings: AdmissionSettings) -> None:
        self.floor = floor
        self.settings = settings
        self.credit_s = 0.0
        self.mean_service_s = settings.initial_service_s
        self.service_samples = 0
        self.mean_slots_used = 0.0
        self.averaging_time_s = INITIAL_AVERAGING_TIME_S
        self.floor_running = 0
        self.spare_running = 0

    @property
    def running(self) -> int:
        """Number of slots that the rank holds."""
        return self.floor_running + self.spare_running

    def advance(self, elapsed_s: float, slots: int, queued: bool) -> None:
        """Update usage and credit for the time since the last update.

        Parameters
        ----------
        elapsed_s : float
            Time in seconds; the number of running statements was constant in it.
        slots : int
            Statements of all ranks that may run at once.
        queued : bool
            Whether the rank has queued statements.
        """
        self.averaging_time_s = min(
            self.averaging_time_s + elapsed_s, self.settings.usage_time_constant_s
        )
        weight = min(elapsed_s / self.averaging_time_s, 1.0)
        self.mean_slots_used += (self.running - self.mean_slots_used) * weight
        rate = self.floor * slots
        if not rate:
            return
        window_s = self.settings.floor_window_s
        credit_s = self.credit_s + rate * elapsed_s
        credit_s = min(
            credit_s, rate * window_s * MAX_CREDIT_WINDOW_SHARE if queued else 0.0
        )
        if self.spare_running:
            minimum_s = -rate * window_s * MAX_SPARE_DEBT_WINDOW_SHARE
            charged_s = credit_s - self.spare_running * elapsed_s
            credit_s = max(charged_s, min(credit_s, minimum_s))
        if self.floor_running:
            credit_s -= self.floor_running * elapsed_s
            credit_s = max(credit_s, -rate * window_s)
        self.credit_s = credit_s

    def available_credit_s(self) -> float:
        """Return the credit less the expected cost of running floor statements."""
        return self.credit_s - self.floor_running * self.mean_service_s

    def record_service(self, service_s: float) -> None:
        """Include a completed statement in the mean service time."""
        self.service_samples = min(self.service_samples + 1, SERVICE_MEAN_SAMPLES)
        self.mean_service_s += (service_s - self.mean_service_s) / self.service_samples
