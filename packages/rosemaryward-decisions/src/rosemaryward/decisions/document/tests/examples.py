"""Valid document that tests modify."""

from typing import Any

PASSWORD_HASH = "2470c0c06dee42fd1618bb99005adca2ec9d1e19"
DOMAINS = ("nb-1", "nb-2", "bb-1")


def _database(tenant: str, first_port: int) -> dict[str, Any]:
    return {
        "tenant": tenant,
        "slots": 5,
        "connections": 30,
        "instances": {
            f"i{index}": {
                "host": "127.0.0.1",
                "port": first_port + index,
                "region": "bac-bo" if domain == "bb-1" else "nam-bo",
                "failure_domain": domain,
            }
            for index, domain in enumerate(DOMAINS)
        },
    }


def example_values() -> dict[str, Any]:
    """Return the plain values of a valid document."""
    return {
        "environment": "trial",
        "regions": {"nam-bo": ["nb-1", "nb-2"], "bac-bo": ["bb-1"]},
        "databases": {
            "collections": _database("booking", 7000),
            "credits": _database("finance", 7100),
        },
        "tenants": {
            "booking": {
                "users": {"booker": {"password_hash": PASSWORD_HASH}},
                "rules": [
                    {"name": "book", "rank": "urgent", "tables": ["bookings"]},
                    {
                        "name": "routes",
                        "rank": "bulk",
                        "databases": ["collections"],
                        "users": ["booker"],
                        "access": "read",
                        "max_staleness_s": 5.0,
                    },
                ],
            },
            "finance": {"users": {"clerk": {"password_hash": PASSWORD_HASH}}},
        },
        "ranks": {"urgent": {"deadline_s": 1.0}, "bulk": {"floor": 0.2}},
    }
