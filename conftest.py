"""Reports the test failures listed in KNOWN-RED.txt as expected, and prints them.

Only the listed failure of the listed test is expected: another message, another
parameter or an error in the setup still fails the run.
"""

import re
from pathlib import Path

import pytest

KNOWN_FAILURES = Path(__file__).parent / "KNOWN-RED.txt"
ENTRY = re.compile(
    r"^\s+test: (?P<test>\S+)\n\s+failure: (?P<failure>.+)$", re.MULTILINE
)


def read_known_failures(text):
    """Return the expected failure message of each listed test."""
    return {entry["test"]: entry["failure"] for entry in ENTRY.finditer(text)}


def pytest_configure(config):
    """Read the list of known failures once per test process."""
    config.known_failures = read_known_failures(
        KNOWN_FAILURES.read_text(encoding="utf-8")
    )


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Report a listed failure as an expected one."""
    report = yield
    expected = item.config.known_failures.get(item.nodeid)
    if (
        expected is not None
        and report.when == "call"
        and report.failed
        and call.excinfo.errisinstance(AssertionError)
        and expected in str(call.excinfo.value)
    ):
        report.outcome = "skipped"
        report.wasxfail = f"listed in KNOWN-RED.txt: {expected}"
    return report


def pytest_terminal_summary(terminalreporter, config):
    """Print the listed failures and whether each was seen."""
    seen = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    for test, expected in config.known_failures.items():
        state = "failed as listed" if test in seen else "not seen"
        terminalreporter.write_line(f"KNOWN-RED.txt: {state}: {test}: {expected}")
