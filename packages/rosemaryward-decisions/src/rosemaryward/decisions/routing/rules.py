"""Rules of the document that assign rank, staleness and deadline to statements."""

import msgspec

from rosemaryward.decisions.document.schema import (
    Document,
    RankSection,
    RuleSection,
    TenantSection,
)
from rosemaryward.decisions.routing.attributes import Attributes, AttributeValueError
from rosemaryward.decisions.routing.classification import StatementClass, StatementKind
from rosemaryward.decisions.types import Rank

__all__ = ["Policy", "RoutingRules", "UserAccount", "rank_sections"]


class Policy(msgspec.Struct, frozen=True):
    """Rank, staleness and deadline of one statement.

    Parameters
    ----------
    rule : str
        Name of the matching rule, empty if the defaults apply.
    rank : Rank
    max_staleness_s : float
        Maximum staleness of a read in seconds; 0 requires fresh data.
    deadline_s : float
        Deadline in seconds from the statement's arrival.
    """

    rule: str
    rank: Rank
    max_staleness_s: float
    deadline_s: float


class UserAccount(msgspec.Struct, frozen=True):
    """User of a tenant, with its password hash and permitted ranks."""

    name: str
    tenant: str
    password_hash: str
    ranks: frozenset[Rank]


class RoutingRules:
    """Index of a document's users, ranks and rules for the entry path.

    Parameters
    ----------
    document : Document
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.users = {
            name: UserAccount(
                name, tenant_name, user.password_hash, _parse_ranks(user.ranks)
            )
            for tenant_name, tenant in document.tenants.items()
            for name, user in tenant.users.items()
        }
        self.ranks = rank_sections(document)

    def policy(
        self,
        account: UserAccount,
        database: str,
        statement: StatementClass,
        attributes: Attributes,
    ) -> Policy:
        """Return the policy of a statement.

        Raises
        ------
        AttributeValueError
            If the caller requests a rank that the user may not use.
        """
        tenant = self.document.tenants[account.tenant]
        rule = _find_rule(tenant, account.name, database, statement)
        rank = Rank[rule.rank.upper()] if rule is not None else Rank.NORMAL
        if attributes.rank is not None:
            rank = _require_permitted_rank(account, attributes.rank)
        max_staleness_s = rule.max_staleness_s if rule is not None else 0.0
        if attributes.staleness_s is not None:
            # A caller may request fresher data than the rule allows, never staler.
            max_staleness_s = min(max_staleness_s, attributes.staleness_s)
        return Policy(
            rule=rule.name if rule is not None else "",
            rank=rank,
            max_staleness_s=max_staleness_s,
            deadline_s=self._deadline_s(rule, rank, attributes),
        )

    def _deadline_s(
        self, rule: RuleSection | None, rank: Rank, attributes: Attributes
    ) -> float:
        if attributes.deadline_s:
            return attributes.deadline_s
        if rule is not None and rule.deadline_s:
            return rule.deadline_s
        return self.ranks[rank].deadline_s


def rank_sections(document: Document) -> dict[Rank, RankSection]:
    """Return the section of each rank, with defaults for missing ones."""
    return {rank: document.ranks.get(rank.name.lower(), RankSection()) for rank in Rank}


def _parse_ranks(names: tuple[str, ...]) -> frozenset[Rank]:
    return frozenset(Rank[name.upper()] for name in names)


def _require_permitted_rank(account: UserAccount, rank: Rank) -> Rank:
    if rank not in account.ranks:
        permitted = ", ".join(r.name.lower() for r in sorted(account.ranks))
        raise AttributeValueError(
            f"attribute 'rank': user {account.name} may use {permitted}, "
            f"got {rank.name.lower()}"
        )
    return rank


def _find_rule(
    tenant: TenantSection, user: str, database: str, statement: StatementClass
) -> RuleSection | None:
    access = "read" if statement.kind is StatementKind.READ else "write"
    for rule in tenant.rules:
        if (
            _matches(rule.users, user)
            and _matches(rule.databases, database)
            and (not rule.access or rule.access == access)
            and (not rule.tables or not statement.tables.isdisjoint(rule.tables))
        ):
            return rule
    return None


def _matches(names: tuple[str, ...], name: str) -> bool:
    return not names or name in names
