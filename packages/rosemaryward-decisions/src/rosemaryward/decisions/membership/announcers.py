"""Members that have announced a newer configuration document."""

from collections.abc import Iterator

from rosemaryward.decisions.messages import Member

__all__ = ["Announcers"]

MAX_ANNOUNCERS = 8


class Announcers:
    """The most recent announcers of a newer document.

    Parameters
    ----------
    region : str
        Region of this proxy. Its members are preferred, because a document from
        another region crosses the billed link.
    """

    __slots__ = ("_versions", "region")

    def __init__(self, region: str) -> None:
        self.region = region
        self._versions: dict[str, tuple[Member, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._versions)

    def add(self, member: Member, version: int) -> None:
        """Record that a member has the document with `version`."""
        self._versions.pop(member.host_id, None)
        self._versions[member.host_id] = (member, version)
        while len(self._versions) > MAX_ANNOUNCERS:
            del self._versions[next(iter(self._versions))]

    def remove(self, host_id: str) -> None:
        """Remove an announcer whose document could not be fetched."""
        self._versions.pop(host_id, None)

    def remove_up_to(self, version: int) -> None:
        """Remove the announcers of `version` and of older versions."""
        self._versions = {i: v for i, v in self._versions.items() if v[1] > version}

    def latest_local(self) -> Member | None:
        """Return the latest announcer in this proxy's region, or None."""
        return next((m for m in self._latest() if m.place.region == self.region), None)

    def preferred(self, excluded: Member | None = None) -> Member | None:
        """Return the latest announcer, with this proxy's region preferred.

        Parameters
        ----------
        excluded : Member, optional
            Announcer to leave out.

        Returns
        -------
        Member or None
            None if there is no other announcer.
        """
        found = None
        for member in self._latest():
            if excluded is not None and member.host_id == excluded.host_id:
                continue
            if member.place.region == self.region:
                return member
            found = found or member
        return found

    def _latest(self) -> Iterator[Member]:
        for member, _ in reversed(self._versions.values()):
            yield member
