"""Authentication of an instance, which accepts any user and password."""

from collections.abc import Sequence

from mysql_mimic.auth import (
    AuthPlugin,
    NativePasswordAuthPlugin,
    SimpleIdentityProvider,
    User,
)

__all__ = ["AnyUser"]


class AnyPassword(NativePasswordAuthPlugin):
    """Native password authentication that accepts every response."""

    def password_matches(self, user: User, scramble: bytes, nonce: bytes) -> bool:
        """Return True for every password."""
        return True


class AnyUser(SimpleIdentityProvider):
    """Identity provider that accepts every account."""

    def get_plugins(self) -> Sequence[AuthPlugin]:
        """Return the only authentication plugin."""
        return [AnyPassword()]
