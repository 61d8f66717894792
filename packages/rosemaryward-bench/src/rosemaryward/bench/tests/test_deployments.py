import hashlib
from pathlib import Path

import pytest

from rosemaryward.bench.deployments import DEPLOYMENTS, example_password

EXAMPLES = Path(__file__).parents[6] / "examples"


@pytest.mark.parametrize("deployment", DEPLOYMENTS.values(), ids=list(DEPLOYMENTS))
def test_example_document(deployment):
    """Guards against example documents that are invalid or allow no login."""
    document = deployment.document(EXAMPLES)
    (tenant,) = document.tenants.values()
    for name, user in tenant.users.items():
        once = hashlib.sha1(example_password(name).encode()).digest()
        assert user.password_hash == hashlib.sha1(once).hexdigest()
    assert set(deployment.users.values()) < set(tenant.users)
    ruled = {table for rule in tenant.rules for table in rule.tables}
    assert ruled == set(deployment.tables.values())
    for database in document.databases.values():
        places = [item.failure_domain for item in database.instances.values()]
        assert len(set(places)) == 3
