"""Measures the CPU time of metrics and document checks, and stored document sizes.

``python -m rosemaryward.operators.measure``
"""

import time

import msgspec

from rosemaryward.decisions.document import Document, check_document
from rosemaryward.decisions.document.stored import StoredDocument, encode_stored
from rosemaryward.operators.metrics import ProxyMetrics

__all__ = ["main"]

STATEMENTS = 50_000
DATABASES = 3_700
DOMAINS = ("a", "b", "c")


def build_document(databases: int) -> Document:
    """Return a valid document with databases of three instances each."""
    values = {
        "environment": "large",
        "regions": {"region": DOMAINS},
        "tenants": {"team": {"users": {}}},
        "databases": {
            f"database-{number}": {
                "tenant": "team",
                "slots": 5,
                "connections": 30,
                "instances": {
                    f"i{index}": {
                        "host": f"10.{number >> 8}.{number & 255}.{index}",
                        "port": 3306,
                        "region": "region",
                        "failure_domain": domain,
                    }
                    for index, domain in enumerate(DOMAINS)
                },
            }
            for number in range(databases)
        },
    }
    return msgspec.convert(values, Document)


def _measure_metrics() -> float:
    """Return the CPU time of the metrics in microseconds per statement."""
    metrics = ProxyMetrics("h1")
    metrics.set_tenants(["orders"])
    started = time.process_time()
    for _ in range(STATEMENTS):
        metrics.record_statement("orders", 0, 0.003, 0.02)
        metrics.record_outcome("orders", 0, "done")
        metrics.record_read("orders", True)
    return (time.process_time() - started) / STATEMENTS * 1e6


def main() -> None:
    """Print the measurements."""
    document = build_document(DATABASES)
    stored = StoredDocument(
        version=1, author="a", comment="", changed_at="", document=document
    )
    started = time.process_time()
    check_document(document)
    elapsed = time.process_time() - started
    print(f"metrics: {_measure_metrics():.1f} microseconds a statement")
    print(f"check of {DATABASES} databases: {elapsed:.3f} s")
    print(f"as JSON: {len(msgspec.json.encode(stored))} bytes")
    print(f"stored: {len(encode_stored(stored))} bytes")


if __name__ == "__main__":
    main()
