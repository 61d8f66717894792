"""Schemas of request and reply bodies of the administration API."""

from typing import Annotated, Any

import msgspec

from rosemaryward.decisions.document import DocumentChange, Problem
from rosemaryward.decisions.document.schema import Name
from rosemaryward.operators.audit import AuditEntry
from rosemaryward.operators.configuration import HistoryEntry

__all__ = [
    "ApplyRequest",
    "AuditReply",
    "CheckReply",
    "CheckRequest",
    "ConfigReply",
    "DiffReply",
    "DiffRequest",
    "DrainReply",
    "ErrorBody",
    "ErrorReply",
    "HistoryReply",
    "PromoteRequest",
    "RollbackRequest",
]

DEFAULT_FILE_NAME = "document.yaml"

Comment = Annotated[str, msgspec.Meta(max_length=500)]
Version = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class CheckRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A document to check.

    Parameters
    ----------
    text : str
        In YAML, TOML or JSON.
    name : str
        File name; its ending selects the format.
    """

    text: str
    name: str = DEFAULT_FILE_NAME


class CheckReply(msgspec.Struct, frozen=True, kw_only=True):
    """Problems of a document; none if it is valid."""

    valid: bool
    problems: tuple[Problem, ...] = ()


class DiffRequest(CheckRequest, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A document to compare with the one in force."""


class DiffReply(msgspec.Struct, frozen=True, kw_only=True):
    """Differences from the document in force to the given one."""

    version: int
    changes: tuple[DocumentChange, ...]


class ApplyRequest(CheckRequest, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A document to put in force.

    Parameters
    ----------
    base_version : int
        Version that the document was made from, 0 for the first.
    comment : str
    merge : bool
        Whether to merge with newer changes of other sections.
    """

    base_version: Version
    comment: Comment = ""
    merge: bool = True


class PromoteRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of another environment to put in force.

    Parameters
    ----------
    source : str
        Environment that the settings come from.
    base_version : int or None
        Version of this environment that must be in force, None for any.
    comment : str
    """

    source: Name
    base_version: Version | None = None
    comment: Comment = ""


class RollbackRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An earlier version to put in force as a new one."""

    version: Version
    base_version: Version | None = None
    comment: Comment = ""


class ConfigReply(msgspec.Struct, frozen=True, kw_only=True):
    """A stored version.

    Parameters
    ----------
    version : int
        0 if the environment has no document.
    author, comment, changed_at : str
    document : object or None
        Password hashes are hidden from tokens without the role ``change``.
    """

    version: int
    author: str = ""
    comment: str = ""
    changed_at: str = ""
    document: dict[str, Any] | None = None


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Newest versions, newest first."""

    versions: tuple[HistoryEntry, ...]


class AuditReply(msgspec.Struct, frozen=True, kw_only=True):
    """Newest entries of the audit log, newest first."""

    entries: tuple[AuditEntry, ...]


class DrainReply(msgspec.Struct, frozen=True, kw_only=True):
    """The proxy that was asked to drain."""

    host_id: str


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Why a request failed.

    Parameters
    ----------
    code : str
        Such as ``invalid_document`` or ``conflict``.
    message : str
    path : str
        Field of the document or of the request.
    version : int
        Version in force, after a conflict.
    author, changed_at : str
        Of the version in force, after a conflict.
    sections : tuple of str
        Sections that both changes touch.
    """

    code: str
    message: str
    path: str = ""
    version: int = 0
    author: str = ""
    changed_at: str = ""
    sections: tuple[str, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """Body of every reply with an error status."""

    error: ErrorBody
