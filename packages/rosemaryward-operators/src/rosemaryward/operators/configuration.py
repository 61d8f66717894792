"""Changes of the configuration document by operators.

The document key is the only source of truth, and every change is one
compare-and-swap of it. Before a document is replaced it is written to the history.
A version determines its content, so concurrent operators write the same history
entry, and an entry that remains after a crash equals the document still in force.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec
import structlog

from rosemaryward.decisions.document import (
    Document,
    check_document,
    merge_documents,
    promote_document,
)
from rosemaryward.decisions.document.stored import (
    MAX_HISTORY_VERSIONS,
    MAX_STORED_BYTES,
    StoredDocument,
    decode_stored,
    document_key,
    encode_stored,
    history_key,
)
from rosemaryward.decisions.errors import (
    ConflictError,
    DocumentError,
    OutcomeUnknownError,
    StoreError,
)
from rosemaryward.decisions.interfaces import Store, VersionedValue
from rosemaryward.operators.audit import AuditLog, utc_now

__all__ = [
    "Change",
    "ConfigurationService",
    "HistoryEntry",
    "NoSuchVersionError",
    "VersionConflictError",
]

CHANGE_ATTEMPTS = 10
STORE_ATTEMPTS = 4
STORE_RETRY_DELAY_S = 0.1

T = TypeVar("T")
logger = structlog.get_logger(__name__)


class VersionConflictError(ConflictError):
    """The document was changed after the operator read it.

    Parameters
    ----------
    current : StoredDocument or None
        Document in force, None if the store has none.
    base_version : int
        Version that the operator's change is based on.
    sections : tuple of str
        Sections that both changes modify, empty if no merge was attempted.
    """

    def __init__(
        self,
        current: StoredDocument | None,
        base_version: int,
        sections: tuple[str, ...] = (),
    ) -> None:
        if current is None:
            found = "there is no document"
        else:
            found = (
                f"version {current.version} by {current.author or 'unknown'} "
                f"of {current.changed_at} is in force"
            )
        overlap = f"; both change {', '.join(sections)}" if sections else ""
        super().__init__(
            f"the change is based on version {base_version}, but {found}{overlap}"
        )
        self.current = current
        self.base_version = base_version
        self.sections = sections


class NoSuchVersionError(StoreError):
    """The history lacks the version, or the environment has no document."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Author, reason and base version of a change of the document.

    Parameters
    ----------
    author : str
    comment : str
        Reason for the change.
    base_version : int or None
        Version that the change is based on, 0 for the first document. None means
        the version in force.
    merge : bool
        Whether to merge with newer changes of other sections.
    minimum_version : int
        Highest version that a proxy has in force. The new version is greater, so
        proxies accept it even if the store was restored from an old snapshot.
    """

    author: str
    comment: str = ""
    base_version: int | None = None
    merge: bool = True
    minimum_version: int = 0


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the document without its content."""

    version: int
    author: str
    comment: str
    changed_at: str


class _CurrentDocument(msgspec.Struct, frozen=True):
    """Document in force and the store's version of its key."""

    stored: StoredDocument | None
    store_version: int

    @property
    def version(self) -> int:
        return 0 if self.stored is None else self.stored.version


class ConfigurationService:
    """Reads and changes the document of one environment.

    Parameters
    ----------
    store : Store
    environment : str
    now : callable
        Returns the time of a change as ISO 8601 in UTC.
    """

    __slots__ = ("audit", "environment", "now", "store")

    def __init__(
        self, store: Store, environment: str, now: Callable[[], str] = utc_now
    ) -> None:
        self.store = store
        self.environment = environment
        self.now = now
        self.audit = AuditLog(store, environment, now)

    async def show(self) -> StoredDocument | None:
        """Return the document in force, or None before the first one."""
        return (await self._read(self.environment)).stored

    async def history(self, limit: int = 20) -> list[HistoryEntry]:
        """Return up to `limit` versions, newest first."""
        current = await self.show()
        entries: list[HistoryEntry] = []
        while current is not None and len(entries) < limit:
            entries.append(
                HistoryEntry(
                    version=current.version,
                    author=current.author,
                    comment=current.comment,
                    changed_at=current.changed_at,
                )
            )
            current = await self._archived(current.version - 1)
        return entries

    async def version(self, version: int) -> StoredDocument:
        """Return the document of a version.

        Raises
        ------
        NoSuchVersionError
            If the version is newer than the current one or no longer stored.
        """
        current = await self.show()
        if current is not None and current.version == version:
            return current
        stored = None
        if current is not None and version < current.version:
            stored = await self._archived(version)
        if stored is None:
            raise NoSuchVersionError(
                f"version {version} of {self.environment} is not among the newest "
                f"{MAX_HISTORY_VERSIONS}"
            )
        return stored

    async def apply(self, document: Document, change: Change) -> StoredDocument:
        """Put a document in force.

        A document equal to the one in force is accepted without a new version.

        Raises
        ------
        DocumentError
            If the document is not valid; nothing is stored.
        VersionConflictError
            If the document changed since `Change.base_version` and no merge is
            possible or wanted.
        StoreError
            If the store does not reply; nothing is stored.
        OutcomeUnknownError
            If the store did not confirm the change, which may still take effect.
        """
        return await self._apply(document, change, "config.apply")

    async def promote(self, source: str, change: Change) -> StoredDocument:
        """Put the settings of another environment in force.

        Parameters
        ----------
        source : str
            Environment whose settings are used.
        change : Change
            The new document is not merged, whatever `Change.merge` says.

        Raises
        ------
        DocumentError
            If the target lacks a database or a user of the source.
        NoSuchVersionError
            If one of the environments has no document.
        """
        origin = (await self._read(source)).stored
        target = await self.show()
        if origin is None or target is None:
            missing = source if origin is None else self.environment
            raise NoSuchVersionError(f"environment {missing} has no document")
        document = promote_document(origin.document, target.document)
        comment = change.comment or f"promote {source} version {origin.version}"
        return await self._apply_unmerged(
            document, target, change, comment, "config.promote"
        )

    async def rollback(self, version: int, change: Change) -> StoredDocument:
        """Put the document of an earlier version in force as a new version.

        Raises
        ------
        NoSuchVersionError
            If the version is no longer stored.
        """
        earlier = await self.version(version)
        current = await self.show()
        comment = change.comment or f"roll back to version {version}"
        return await self._apply_unmerged(
            earlier.document, current, change, comment, "config.rollback"
        )

    async def _apply_unmerged(
        self,
        document: Document,
        current: StoredDocument | None,
        change: Change,
        comment: str,
        action: str,
    ) -> StoredDocument:
        version = 0 if current is None else current.version
        base = version if change.base_version is None else change.base_version
        unmerged = msgspec.structs.replace(
            change, base_version=base, comment=comment, merge=False
        )
        return await self._apply(document, unmerged, action)

    async def _apply(
        self, document: Document, change: Change, action: str
    ) -> StoredDocument:
        self._check(document)
        for _ in range(CHANGE_ATTEMPTS):
            current = await self._read(self.environment)
            if change.base_version is None:
                change = msgspec.structs.replace(change, base_version=current.version)
            target = await self._resolve_document(document, change, current)
            if current.stored is not None and current.stored.document == target:
                return current.stored
            new = StoredDocument(
                version=max(current.version, change.minimum_version) + 1,
                author=change.author,
                comment=change.comment,
                changed_at=self.now(),
                document=target,
            )
            if await self._swap(current, new):
                await self._append_audit_entry(change.author, action, new)
                return new
        raise StoreError(
            f"the document was changed concurrently in {CHANGE_ATTEMPTS} attempts"
        )

    def _check(self, document: Document) -> None:
        if document.environment != self.environment:
            raise DocumentError(
                "environment",
                f"expected {self.environment!r}, found {document.environment!r}",
            )
        check_document(document)

    async def _resolve_document(
        self, document: Document, change: Change, current: _CurrentDocument
    ) -> Document:
        """Return the document to store, merged with newer changes if necessary.

        Raises
        ------
        VersionConflictError
            If the document changed and no merge is possible or wanted.
        """
        base_version = change.base_version or 0
        if base_version == current.version:
            return document
        if current.stored is not None and current.stored.document == document:
            return document
        refusal = VersionConflictError(current.stored, base_version)
        if not change.merge or current.stored is None:
            raise refusal
        base = None
        if base_version < current.version:
            base = await self._archived(base_version)
        if base is None:
            raise refusal
        try:
            return merge_documents(base.document, document, current.stored.document)
        except ConflictError as error:
            sections = getattr(error, "sections", ())
            raise VersionConflictError(
                current.stored, base_version, sections
            ) from error

    async def _read(self, environment: str) -> _CurrentDocument:
        value = await self.store.get(document_key(environment))
        if value is None:
            return _CurrentDocument(None, 0)
        return _CurrentDocument(_decode(value), value.version)

    async def _archived(self, version: int) -> StoredDocument | None:
        if version < 1:
            return None
        value = await self.store.get(history_key(self.environment, version))
        stored = None if value is None else _decode(value)
        return stored if stored is not None and stored.version == version else None

    async def _swap(self, current: _CurrentDocument, new: StoredDocument) -> bool:
        """Replace the document; return False if another change replaced it first."""
        value = encode_stored(new)
        if len(value) > MAX_STORED_BYTES:
            raise DocumentError(
                "document",
                f"expected at most {MAX_STORED_BYTES} bytes when stored, "
                f"found {len(value)}",
            )
        if current.stored is not None:
            await _retry(lambda: self._archive(current.stored))
        key = document_key(self.environment)
        problem = ""
        for _ in range(STORE_ATTEMPTS):
            try:
                await self.store.compare_and_swap(key, value, current.store_version)
                return True
            except ConflictError:
                return await self._took_effect(new)
            except StoreError as error:
                # Repeating the same swap is safe, because it cannot take effect twice.
                problem = str(error)
                await anyio.sleep(STORE_RETRY_DELAY_S)
        if await self._took_effect(new):
            return True
        raise OutcomeUnknownError(
            f"the store did not confirm version {new.version} ({problem}); it may "
            "take effect; compare the history"
        )

    async def _took_effect(self, new: StoredDocument) -> bool:
        """Return whether a swap with a lost reply took effect."""
        try:
            return await _retry(lambda: self._is_stored(new))
        except StoreError as error:
            raise OutcomeUnknownError(
                f"version {new.version} may take effect: {error}"
            ) from error

    async def _is_stored(self, new: StoredDocument) -> bool:
        current = (await self._read(self.environment)).stored
        if current is None or current.version <= new.version:
            return current == new
        return await self._archived(new.version) == new

    async def _archive(self, stored: StoredDocument | None) -> None:
        """Write the history entry of a document before it is replaced."""
        assert stored is not None
        key = history_key(self.environment, stored.version)
        present = await self.store.get(key)
        if present is not None:
            archived = _decode(present)
            if archived == stored or archived.version > stored.version:
                return
        version = 0 if present is None else present.version
        await self.store.compare_and_swap(key, encode_stored(stored), version)

    async def _append_audit_entry(
        self, author: str, action: str, new: StoredDocument
    ) -> None:
        detail = f"version {new.version}: {new.comment}".rstrip(": ")
        try:
            await self.audit.append(author, action, detail)
        except StoreError as error:
            # The change is in force, and its stored version contains the author.
            logger.warning("audit entry lost", action=action, problem=str(error))


def _decode(value: VersionedValue) -> StoredDocument:
    try:
        return decode_stored(value.value)
    except msgspec.MsgspecError as error:
        raise StoreError(f"{value.key}: expected a stored document: {error}") from error


async def _retry(call: Callable[[], Awaitable[T]]) -> T:
    """Retry an idempotent call up to `STORE_ATTEMPTS` times."""
    for attempt in range(STORE_ATTEMPTS):
        try:
            return await call()
        except StoreError:
            if attempt == STORE_ATTEMPTS - 1:
                raise
            await anyio.sleep(STORE_RETRY_DELAY_S)
    raise AssertionError("unreachable")
