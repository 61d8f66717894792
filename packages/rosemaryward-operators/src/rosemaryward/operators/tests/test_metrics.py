import io
import json
import re

import pytest
import structlog

from rosemaryward.decisions.errors import SettingsError
from rosemaryward.decisions.links import LinkDirection, LinkPurpose, TrafficKey
from rosemaryward.decisions.types import Rank
from rosemaryward.operators import logs
from rosemaryward.operators.metrics import TENANT_LIMIT, ProxyMetrics


def lines(metrics: ProxyMetrics, name: str) -> list[str]:
    text = metrics.render()[0].decode()
    return [line for line in text.splitlines() if line.startswith(name)]


def link_key(rank: Rank) -> TrafficKey:
    return TrafficKey(LinkDirection.SENT, rank, LinkPurpose.STATEMENT)


def test_labels_are_bounded():
    """Guards against a series for each unknown tenant, rank, outcome or purpose."""
    metrics = ProxyMetrics("h1")
    for number in range(3 * TENANT_LIMIT):
        metrics.set_tenants([f"tenant-{number}"])
        metrics.record_outcome(f"tenant-{number}", number, f"outcome {number}")
        metrics.record_outcome(f"tenant-{number}", 0, "done")
        metrics.record_read(f"tenant-{number}", number % 2 == 0)
        metrics.set_link_bytes(link_key(Rank(number % 3)), 5)
        metrics.set_gossip_bytes(10 * number, 20 * number)
    text = metrics.render()[0].decode()
    assert len(set(re.findall('tenant="([^"]*)"', text))) == TENANT_LIMIT + 1
    assert set(re.findall('rank="([^"]*)"', text)) == {
        "urgent",
        "normal",
        "bulk",
        "other",
    }
    assert set(re.findall('outcome="([^"]*)"', text)) == {"done", "other"}
    assert set(re.findall('purpose="([^"]*)"', text)) == {"statement"}
    assert len(metrics._series) <= 4 * (TENANT_LIMIT + 1)


def test_name_of_a_tenant_does_not_change_other_lines():
    """Guards against metrics that cannot be read because of one name."""
    metrics = ProxyMetrics("h1")
    name = 'a"\n# b\\'
    metrics.set_tenants([name])
    metrics.record_outcome(name, 0, "done")
    metrics.record_read(name, False)
    text = metrics.render()[0].decode()
    assert text.count(r'tenant="a\"\n# b\\"') == 2
    assert not [line for line in text.splitlines() if line.startswith("# b")]


def test_values():
    """Guards against counts under wrong labels and histograms without counts."""
    metrics = ProxyMetrics("h1")
    metrics.set_tenants(["orders"])
    metrics.record_statement("orders", 0, queue_s=0.003, service_s=0.02)
    metrics.record_outcome("orders", 2, "not_run")
    metrics.record_read("orders", from_replica=True)
    metrics.record_failover_gap(1.1)
    metrics.set_link_bytes(link_key(Rank.NORMAL), 500)
    metrics.render()
    metrics.record_read("orders", from_replica=True)
    metrics.record_ownership_change(gained=True)
    metrics.record_term_change()
    metrics.set_configuration(7, 1.5)
    [outcome] = lines(metrics, "rosemaryward_statements_total")
    assert {'host="h1"', 'rank="bulk"', 'outcome="not_run"', 'tenant="orders"'} == set(
        re.findall(r'\w+="[^"]*"', outcome)
    )
    [count] = lines(metrics, "rosemaryward_queue_seconds_count")
    assert 'rank="urgent"' in count
    assert count.endswith(" 1.0")
    [replica] = lines(metrics, "rosemaryward_reads_total")
    assert 'role="replica"' in replica
    assert replica.endswith(" 2")
    [size] = lines(metrics, "rosemaryward_region_link_bytes_total")
    assert size.endswith(" 500")
    [version] = lines(metrics, "rosemaryward_configuration_version")
    assert version.endswith(" 7")


def test_logs_are_json_lines():
    """Guards against log lines that a collector cannot parse."""
    stream = io.StringIO()
    try:
        logs.configure_logging("info", stream)
        structlog.get_logger().debug("left out")
        structlog.get_logger().info("primary changed", term=4)
    finally:
        structlog.reset_defaults()
    [line] = stream.getvalue().splitlines()
    event = json.loads(line)
    assert (event["event"], event["level"], event["term"]) == (
        "primary changed",
        "info",
        4,
    )
    with pytest.raises(SettingsError, match="log level"):
        logs.configure_logging("loud")
