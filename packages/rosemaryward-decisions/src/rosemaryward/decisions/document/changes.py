"""Differences between documents and three-way merge of two changes."""

from collections.abc import Iterator
from typing import Any

import msgspec

from rosemaryward.decisions.document.checks import check_document
from rosemaryward.decisions.document.schema import Document
from rosemaryward.decisions.errors import ConflictError

__all__ = [
    "DocumentChange",
    "SectionConflictError",
    "diff_documents",
    "merge_documents",
    "redact_document",
]

REDACTED = "(hidden)"
ORDER_SUFFIX = "[order]"
MERGED_TABLES = ("regions", "databases", "tenants", "ranks")
MERGED_VALUES = ("environment", "region_link_bits_per_s")

Scalar = str | int | float | bool | None


class DocumentChange(msgspec.Struct, frozen=True):
    """A changed value.

    Parameters
    ----------
    path : str
        Path of the value. Rules are identified by name, as in
        ``tenants.orders.rules[stock].rank``.
    old, new : scalar
        Value before and after the change, None if absent.
    """

    path: str
    old: Scalar
    new: Scalar


class SectionConflictError(ConflictError):
    """Two changes of the same base document modify the same section differently.

    Parameters
    ----------
    sections : tuple of str
        Paths such as ``databases.orders``.
    """

    def __init__(self, sections: tuple[str, ...]) -> None:
        super().__init__("both changes modify " + ", ".join(sections))
        self.sections = sections


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Scalar]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, f"{path}.{key}" if path else key)
    elif isinstance(value, list | tuple) and value and isinstance(value[0], dict):
        yield f"{path}{ORDER_SUFFIX}", ", ".join(item["name"] for item in value)
        for item in value:
            yield from _flatten(item, f"{path}[{item['name']}]")
    elif isinstance(value, list | tuple):
        yield path, ", ".join(str(item) for item in value)
    else:
        yield path, value


def _redact(path: str, value: Scalar) -> Scalar:
    is_secret = path.endswith(".password_hash") and value is not None
    return REDACTED if is_secret else value


def diff_documents(old: Document, new: Document) -> list[DocumentChange]:
    """Return the changed values ordered by path, with password hashes hidden."""
    before = dict(_flatten(msgspec.to_builtins(old), ""))
    after = dict(_flatten(msgspec.to_builtins(new), ""))
    paths = sorted(
        path
        for path in before.keys() | after.keys()
        if before.get(path) != after.get(path)
    )
    return [
        DocumentChange(
            path, _redact(path, before.get(path)), _redact(path, after.get(path))
        )
        for path in paths
    ]


def _merge_table(
    base: dict[str, Any], ours: dict[str, Any], theirs: dict[str, Any]
) -> tuple[dict[str, Any], list[str]]:
    merged: dict[str, Any] = {}
    conflicts: list[str] = []
    for key in [*theirs, *(key for key in ours if key not in theirs)]:
        old, our, their = base.get(key), ours.get(key), theirs.get(key)
        if our not in (old, their) and their != old:
            conflicts.append(key)
        chosen = their if our == old else our
        if chosen is not None:
            merged[key] = chosen
    return merged, conflicts


def merge_documents(base: Document, ours: Document, theirs: Document) -> Document:
    """Merge two changes of the same base document.

    A section is one region, database, tenant or rank, or one top-level value.

    Parameters
    ----------
    base : Document
        Document on which both changes are based.
    ours : Document
        Document with the later change.
    theirs : Document
        Document with the change that is already in force.

    Raises
    ------
    SectionConflictError
        If both changed the same section in different ways.
    DocumentError
        If the merged document fails the checks.
    """
    fields: dict[str, Any] = {}
    conflicts: list[str] = []
    for name in MERGED_TABLES:
        tables = (getattr(side, name) for side in (base, ours, theirs))
        fields[name], keys = _merge_table(*tables)
        conflicts += [f"{name}.{key}" for key in keys]
    values = [
        {name: getattr(side, name) for name in MERGED_VALUES}
        for side in (base, ours, theirs)
    ]
    merged, keys = _merge_table(*values)
    conflicts += keys
    if conflicts:
        raise SectionConflictError(tuple(conflicts))
    document = Document(**fields, **merged)
    check_document(document)
    return document


def redact_document(document: Document) -> dict[str, Any]:
    """Return the document as plain values with the password hashes hidden."""
    values: dict[str, Any] = msgspec.to_builtins(document)
    for tenant in values["tenants"].values():
        for user in tenant["users"].values():
            user["password_hash"] = REDACTED
    return values
