"""Rules of the document that give statements a rank, staleness and deadline."""

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
    """How one statement is to be treated.

    Parameters
    ----------
    rule : str
        Name of the rule that matched, empty for the default.
    rank : Rank
    max_staleness_s : float
        0 demands fresh data.
    deadline_s : float
    """

    rule: str
    rank: Rank
    max_staleness_s: float
    deadline_s: float


class UserAccount(msgspec.Struct, frozen=True):
    """A user with its tenant."""

    name: str
    tenant: str
    password_hash: str
    ranks: frozenset[Rank]


class RoutingRules:
    """Index over a document for the entry path.

    Parameters
    ----------
    document : Document
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.users = {
            name: UserAccount(name, tenant_name, user.password_hash, _ranks(user.ranks))
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
        """Return the treatment of a statement.

        Raises
        ------
        AttributeValueError
            If the caller asks for a rank that the user may not use.
        """
        tenant = self.document.tenants[account.tenant]
        rule = _first_match(tenant, account.name, database, statement)
        rank = Rank[rule.rank.upper()] if rule is not None else Rank.NORMAL
        if attributes.rank is not None:
            rank = _allowed_rank(account, attributes.rank)
        staleness = rule.max_staleness_s if rule is not None else 0.0
        if attributes.staleness_s is not None:
            # A caller may ask for fresher data than the rule, never for staler.
            staleness = min(staleness, attributes.staleness_s)
        return Policy(
            rule=rule.name if rule is not None else "",
            rank=rank,
            max_staleness_s=staleness,
            deadline_s=self._deadline(rule, rank, attributes),
        )

    def _deadline(
        self, rule: RuleSection | None, rank: Rank, attributes: Attributes
    ) -> float:
        if attributes.deadline_s:
            return attributes.deadline_s
        if rule is not None and rule.deadline_s:
            return rule.deadline_s
        return self.ranks[rank].deadline_s


def rank_sections(document: Document) -> dict[Rank, RankSection]:
    """Return the section of each rank, with defaults for those not given."""
    return {rank: document.ranks.get(rank.name.lower(), RankSection()) for rank in Rank}


def _ranks(names: tuple[str, ...]) -> frozenset[Rank]:
    return frozenset(Rank[name.upper()] for name in names)


def _allowed_rank(account: UserAccount, rank: Rank) -> Rank:
    if rank not in account.ranks:
        allowed = ", ".join(r.name.lower() for r in sorted(account.ranks))
        raise AttributeValueError(
            f"attribute 'rank': user {account.name} may use {allowed}, "
            f"got {rank.name.lower()}"
        )
    return rank


def _first_match(
    tenant: TenantSection, user: str, database: str, statement: StatementClass
) -> RuleSection | None:
    access = "read" if statement.kind is StatementKind.READ else "write"
    for rule in tenant.rules:
        if (
            _accepts(rule.users, user)
            and _accepts(rule.databases, database)
            and (not rule.access or rule.access == access)
            and (not rule.tables or not statement.tables.isdisjoint(rule.tables))
        ):
            return rule
    return None


def _accepts(names: tuple[str, ...], name: str) -> bool:
    return not names or name in names
