"""Authorization of callers, with a proof that no revoked key is accepted.

`RevocationProof` bounds the age of the mirror. The mirror has every change that the
store acknowledged before now - age, so a key that was removed at the time a is seen to
be removed unless now - age <= a. A statement that passes both checks therefore arrived
at the latest at a + age, within the bound after the removal.
"""

from collections.abc import Callable
from enum import Enum

import structlog

from rosemaryward.decisions.errors import RosemarywardError
from rosemaryward.decisions.tenants.directory import TenantDirectory
from rosemaryward.decisions.tenants.keys import CallerKey
from rosemaryward.decisions.tenants.limiter import OperationLimiter

__all__ = [
    "AuthorizationError",
    "Authorizer",
    "CallerAccess",
    "RefusalCause",
    "RevocationProof",
]

# Clocks of hosts differ by far less than 2%, which is 0.1 s of the usual bound.
DRIFT_MARGIN_SHARE = 0.02

log = structlog.get_logger(__name__)


class RefusalCause(Enum):
    """Why an operation or a caller is refused."""

    UNKNOWN_KEY = "unknown_key"
    NO_PROOF = "no_proof"
    RATE_LIMIT = "rate_limit"


class AuthorizationError(RosemarywardError):
    """The caller may not act now.

    Parameters
    ----------
    cause : RefusalCause
        Why it may not.
    reason : str
        Details for the caller.
    """

    def __init__(self, cause: RefusalCause, reason: str) -> None:
        super().__init__(reason)
        self.cause = cause
        self.reason = reason


class RevocationProof:
    """Proof that every key removed long enough ago is known to be removed.

    Parameters
    ----------
    age_s : callable
        Returns for how many seconds changes of the store may be missing.
    bound_s : callable
        Returns within how many seconds a removed key must not be accepted any more,
        None if nothing has to be proven.
    version : callable
        Returns the version of the configuration, for log lines.

    Attributes
    ----------
    held : bool
        Whether the proof held when it was last observed; not yet at the start.
    """

    __slots__ = ("age_s", "bound_s", "held", "version")

    def __init__(
        self,
        age_s: Callable[[], float],
        bound_s: Callable[[], float | None],
        version: Callable[[], int],
    ) -> None:
        self.age_s = age_s
        self.bound_s = bound_s
        self.version = version
        self.held = False

    def holds(self) -> bool:
        """Return whether the mirror is recent enough; logs when this changes."""
        bound_s = self.bound_s()
        if bound_s is None:
            return True
        age_s = self.age_s()
        held = age_s <= bound_s * (1.0 - DRIFT_MARGIN_SHARE)
        if held != self.held:
            self.held = held
            write = log.info if held else log.warning
            write(
                "revocation proof regained" if held else "revocation proof lost",
                age_s=round(age_s, 3),
                bound_s=bound_s,
                configuration=self.version(),
            )
        return held


class Authorizer:
    """Decides for which tenant a caller acts.

    Parameters
    ----------
    directory : callable
        Returns the tenants of the configuration in force, None if it has none.
    proof : RevocationProof
        Proof that removed keys are known.

    Attributes
    ----------
    refusals : dict of RefusalCause to int
        Number of refusals since the start, by cause.
    operations : dict of str to int
        Number of operations that began since the start, by tenant.
    """

    __slots__ = ("directory", "operations", "proof", "refusals")

    def __init__(
        self,
        directory: Callable[[], TenantDirectory | None],
        proof: RevocationProof,
    ) -> None:
        self.directory = directory
        self.proof = proof
        self.refusals = dict.fromkeys(RefusalCause, 0)
        self.operations: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether callers of tenants can be served now."""
        return self.directory() is None or self.proof.holds()

    def observe_proof(self) -> None:
        """Log whether the proof was lost or regained, also while no caller asks."""
        if self.directory() is not None:
            self.proof.holds()

    def authorize(self, key: CallerKey, is_public: bool) -> str:
        """Return the tenant that a caller acts for, empty if it needs none.

        Parameters
        ----------
        key : CallerKey
            Key of the caller.
        is_public : bool
            Whether its route needs no key.

        Raises
        ------
        AuthorizationError
            If the key is unknown, or if it may have been removed unseen.
        """
        directory = self.directory()
        if directory is None or is_public:
            return ""
        if not self.proof.holds():
            raise AuthorizationError(
                RefusalCause.NO_PROOF, "the proxy cannot confirm that the key is valid"
            )
        tenant = directory.find(key)
        if tenant is None:
            raise AuthorizationError(RefusalCause.UNKNOWN_KEY, "the key is not valid")
        return tenant

    def count_refusal(self, cause: RefusalCause) -> None:
        """Count a refused caller or operation."""
        self.refusals[cause] += 1

    def count_operation(self, tenant: str) -> None:
        """Count an operation that began."""
        self.operations[tenant] = self.operations.get(tenant, 0) + 1


class CallerAccess:
    """Key of one caller, with what decides about its operations.

    Parameters
    ----------
    key : CallerKey
        Key that the caller sent.
    authorizer : Authorizer
        Decides for which tenant it acts.
    limiter : OperationLimiter, optional
        Limits the operations of the tenant.
    on_refused : callable, optional
        Called with the key, the tenant (empty if unknown) and the cause of a refusal.
    """

    __slots__ = ("authorizer", "key", "limiter", "on_refused")

    def __init__(
        self,
        key: CallerKey,
        authorizer: Authorizer,
        limiter: OperationLimiter | None = None,
        on_refused: Callable[[CallerKey, str, RefusalCause], None] | None = None,
    ) -> None:
        self.key = key
        self.authorizer = authorizer
        self.limiter = limiter
        self.on_refused = on_refused

    def record_refusal(self, cause: RefusalCause, tenant: str = "") -> None:
        """Count a refusal and report it."""
        self.authorizer.count_refusal(cause)
        if self.on_refused is not None:
            self.on_refused(self.key, tenant, cause)
