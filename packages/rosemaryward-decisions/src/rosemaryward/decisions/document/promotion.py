"""Promotion of a document's settings from one environment to another."""

from collections.abc import Iterator

from msgspec.structs import replace

from rosemaryward.decisions.document.checks import check_document
from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    TenantSection,
    UserSection,
)
from rosemaryward.decisions.errors import DocumentError

__all__ = ["promote_document"]


def _promote_database(
    name: str, source: DatabaseSection, target: Document
) -> DatabaseSection:
    kept = target.databases.get(name)
    if kept is None:
        raise DocumentError(
            f"databases.{name}",
            f"expected a database that {target.environment} has with its own "
            "instances, found none; apply one there before the promotion",
        )
    return replace(source, instances=kept.instances)


def _promote_users(
    path: str, source: TenantSection, target: TenantSection | None
) -> Iterator[tuple[str, UserSection]]:
    kept = {} if target is None else target.users
    yield from kept.items()
    for name, user in source.users.items():
        if name not in kept:
            raise DocumentError(
                f"{path}.users.{name}",
                "expected a user that the target environment has with its own password "
                "hash, found none; apply one there before the promotion",
            )
        yield name, replace(user, password_hash=kept[name].password_hash)


def promote_document(source: Document, target: Document) -> Document:
    """Return the target's document with the settings of the source.

    The target keeps its regions, the capacity of the link between them, its instances
    and its password hashes. It also keeps databases, tenants and users that the source
    does not have, so a promotion never removes any.

    Parameters
    ----------
    source : Document
        Document whose settings are copied.
    target : Document
        Document of the environment that receives the settings.

    Raises
    ------
    DocumentError
        If the source has a database or a user that the target lacks, or if the
        result fails the checks.
    """
    databases = {
        name: _promote_database(name, section, target)
        for name, section in source.databases.items()
    }
    tenants = {
        name: replace(
            section,
            users=dict(
                _promote_users(f"tenants.{name}", section, target.tenants.get(name))
            ),
        )
        for name, section in source.tenants.items()
    }
    promoted = replace(
        target,
        databases=target.databases | databases,
        tenants=target.tenants | tenants,
        ranks=source.ranks,
    )
    check_document(promoted)
    return promoted
