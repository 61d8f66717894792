import json
import os
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from rosemaryward.decisions.document import (
    Document,
    SectionConflictError,
    check_document,
    diff_documents,
    merge_documents,
    parse_document,
    redact_document,
    render_document,
)
from rosemaryward.decisions.document.reference import render_reference, render_schema
from rosemaryward.decisions.document.stored import (
    MAX_STORED_BYTES,
    StoredDocument,
    decode_stored,
    encode_stored,
)
from rosemaryward.decisions.document.tests.examples import example_values
from rosemaryward.decisions.errors import DocumentError

REPOSITORY = Path(__file__).parents[7]
DELETE = object()

COLLECTIONS = "databases.collections"
I0 = COLLECTIONS + ".instances.i0"
BOOKING = "tenants.booking"


def _parts(path: str) -> list[str | int]:
    words = path.replace("[", ".[").split(".")
    return [int(word[1:-1]) if word.startswith("[") else word for word in words]


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the example values with one value replaced, added or deleted."""
    root = example_values()
    target: Any = root
    *parents, last = _parts(path)
    for part in parents:
        target = target[part]
    if value is DELETE:
        del target[last]
    else:
        target[last] = value
    return root


def parse(values: dict[str, Any]) -> Document:
    return parse_document(json.dumps(values).encode(), "document.json")


BAD_DOCUMENTS = [
    # (changed field, new value, path in the error, part of the problem)
    ("environment", "a/b", "environment", "matching"),
    ("environment", "a\n", "environment", "matching"),
    ("environment", DELETE, "environment", "required"),
    ("colour", 1, "colour", "unknown field"),
    ("regions", {}, "regions", "at least one region"),
    ("regions", [], "regions", "expected a table"),
    ("regions.bac-bo", [], "regions.bac-bo", "at least one failure domain"),
    ("regions.bac-bo", ["nb-1"], "regions.bac-bo[0]", "one region only"),
    (f"{COLLECTIONS}.slot", 5, f"{COLLECTIONS}.slot", "unknown field"),
    (f"{COLLECTIONS}.slots", 0, f"{COLLECTIONS}.slots", ">= 1 and <= 1000000"),
    (f"{COLLECTIONS}.slots", "5", f"{COLLECTIONS}.slots", "an integer"),
    (f"{COLLECTIONS}.slots", True, f"{COLLECTIONS}.slots", "found True"),
    (f"{COLLECTIONS}.slots", 31, f"{COLLECTIONS}.slots", "30 connections"),
    (f"{COLLECTIONS}.tenant", "nobody", f"{COLLECTIONS}.tenant", "found 'nobody'"),
    (f"{I0}.port", 0, f"{I0}.port", ">= 1 and <= 65535, found 0"),
    (f"{I0}.port", 65536, f"{I0}.port", "found 65536"),
    (f"{I0}.port", DELETE, f"{I0}.port", "required"),
    (f"{I0}.port", 7101, "databases.credits.instances.i1.port", "of its own"),
    (f"{I0}.host", "db.local", f"{I0}.host", "an IP address"),
    (f"{I0}.host", "0.0.0.0", f"{I0}.host", "address of a host"),
    (f"{I0}.region", "nowhere", f"{I0}.region", "known region"),
    (f"{I0}.failure_domain", "bb-1", f"{I0}.failure_domain", "of region nam-bo"),
    (I0, DELETE, f"{COLLECTIONS}.instances", "odd number"),
    (f"{COLLECTIONS}.instances", {}, f"{COLLECTIONS}.instances", "odd number"),
    ("databases.a/b", {}, "databases.a/b", "matching"),
    (f"{BOOKING}.rules[0].rank", "high", f"{BOOKING}.rules[0].rank", "known rank"),
    (f"{BOOKING}.rules[1].name", "book", f"{BOOKING}.rules[0].name", "of its own"),
    (
        f"{BOOKING}.rules[0].databases",
        ["stock"],
        f"{BOOKING}.rules[0].databases[0]",
        "known database",
    ),
    (
        f"{BOOKING}.rules[0].users",
        ["clerk"],
        f"{BOOKING}.rules[0].users[0]",
        "known user",
    ),
    (f"{BOOKING}.rules[0].access", "rw", f"{BOOKING}.rules[0].access", "read, write"),
    (
        f"{BOOKING}.rules[1].access",
        "write",
        f"{BOOKING}.rules[1].max_staleness_s",
        "rule for writes",
    ),
    (
        f"{BOOKING}.rules[1].max_staleness_s",
        -1,
        f"{BOOKING}.rules[1].max_staleness_s",
        ">= 0",
    ),
    (
        f"{BOOKING}.users.booker.password_hash",
        "secret",
        f"{BOOKING}.users.booker.password_hash",
        "found another text",
    ),
    (
        f"{BOOKING}.users.booker.ranks",
        [],
        f"{BOOKING}.users.booker.ranks",
        "at least one rank",
    ),
    (
        "tenants.finance.users.booker",
        {"password_hash": "0" * 40},
        "tenants.finance.users.booker",
        "one tenant only",
    ),
    (
        f"{BOOKING}.limits",
        {"connections": 0},
        f"{BOOKING}.limits.connections",
        ">= 1",
    ),
    ("ranks.slow", {}, "ranks.slow", "known rank"),
    ("ranks.bulk.floor", 1.01, "ranks.bulk.floor", "<= 1"),
    ("ranks.bulk.floor", 0.9, "ranks", "sum of at most 1"),
    ("ranks.bulk.floor", float("nan"), "ranks.bulk.floor", "found nan"),
    ("region_link_bits_per_s", float("inf"), "region_link_bits_per_s", "found inf"),
    ("region_link_bits_per_s", 0, "region_link_bits_per_s", "> 0"),
]


@pytest.mark.parametrize(("field", "value", "path", "problem"), BAD_DOCUMENTS)
def test_bad_document(field, value, path, problem):
    """Guards against accepting an invalid document and errors without a path."""
    with pytest.raises(DocumentError) as caught:
        parse(changed(field, value))
    assert caught.value.path == path
    assert problem in caught.value.problem
    assert "secret" not in str(caught.value)


def test_staleness_without_replica():
    """Guards against a staleness limit that no replica can serve."""
    values = example_values()
    for name in ("i1", "i2"):
        values["databases"]["collections"]["instances"][name]["leaving"] = True
    with pytest.raises(DocumentError, match=r"rules\[1\]\.max_staleness_s.*replica"):
        parse(values)


@pytest.mark.parametrize(
    ("text", "name", "problem"),
    [
        pytest.param(b"{}", "document.ini", "ending in one of", id="format"),
        pytest.param(b"\xff", "document.json", "malformed", id="not-utf-8"),
        pytest.param(b"{", "document.json", "malformed", id="cut-off"),
        pytest.param(b"[" * 100_000, "document.json", "malformed", id="deep-json"),
        pytest.param(b"[" * 900, "document.yaml", "nested deeper", id="deep-yaml"),
        pytest.param(b"a: &x 1\nb: *x", "document.yaml", "aliases", id="alias"),
        pytest.param(b"a: 1\na: 2", "document.yaml", "duplicate key 'a'", id="yaml"),
        pytest.param(b"a: {b: 1, b: 2}", "document.yaml", "duplicate", id="nested"),
        pytest.param(b"? [a]\n: 1", "document.yaml", "names as keys", id="list-as-key"),
        pytest.param(b'{"a":1,"a":2}', "document.json", "duplicate key 'a'", id="json"),
        pytest.param(b"a = 1\na = 2", "document.toml", "malformed", id="toml"),
        pytest.param(b" " * 4_000_001, "document.json", "at most", id="too-long"),
        pytest.param(b"", "document.yaml", "expected a table, found None", id="empty"),
    ],
)
def test_malformed_text(text, name, problem):
    """Guards against crashes, silent overrides and unbounded expansion of a text."""
    with pytest.raises(DocumentError, match=problem):
        parse_document(text, name)


@pytest.mark.parametrize("name", ["d.yaml", "d.yml", "d.toml", "d.json"])
def test_formats_agree(name):
    """Guards against a format that loses or changes a field."""
    document = parse(example_values())
    assert parse_document(render_document(document, name).encode(), name) == document


def test_check_of_built_document():
    """Guards against a document built in code that bypasses the range checks."""
    document = msgspec.structs.replace(parse(example_values()), environment="a/b")
    with pytest.raises(DocumentError, match="environment"):
        check_document(document)


def test_diff_names_values_and_redacts_hashes():
    """Guards against unreadable differences and against printed password hashes."""
    values = changed(f"{BOOKING}.users.booker.password_hash", "0" * 40)
    values["tenants"]["booking"]["rules"].insert(
        0, {"name": "new", "rank": "normal", "tables": ["t"]}
    )
    values["databases"]["credits"]["slots"] = 4
    changes = diff_documents(parse(example_values()), parse(values))
    found = {change.path: (change.old, change.new) for change in changes}
    assert found["databases.credits.slots"] == (5, 4)
    assert found[f"{BOOKING}.rules[new].rank"] == (None, "normal")
    assert found[f"{BOOKING}.rules[order]"] == ("book, routes", "new, book, routes")
    assert found[f"{BOOKING}.users.booker.password_hash"] == ("(hidden)", "(hidden)")
    assert not any("rules[book]" in path for path in found)
    assert diff_documents(parse(values), parse(values)) == []


MERGES = [
    # (field changed by us, field changed by them, conflicting section or None)
    ("databases.collections.slots", "databases.credits.slots", None),
    ("databases.collections.slots", "ranks.bulk.queue_limit", None),
    ("databases.collections.slots", "databases.collections.slots", None),
    (
        "databases.collections.slots",
        "databases.collections.connections",
        "databases.collections",
    ),
    ("region_link_bits_per_s", "databases.credits.slots", None),
    ("ranks.bulk.queue_limit", "ranks.bulk.deadline_s", "ranks.bulk"),
]


@pytest.mark.parametrize(("our", "their", "conflict"), MERGES)
def test_merge(our, their, conflict):
    """Guards against lost changes and against needless conflicts between teams."""
    base = parse(example_values())
    ours, theirs = parse(changed(our, 10)), parse(changed(their, 10))
    if conflict:
        with pytest.raises(SectionConflictError) as caught:
            merge_documents(base, ours, theirs)
        assert caught.value.sections == (conflict,)
        return
    merged = merge_documents(base, ours, theirs)
    both = {c.path for c in diff_documents(base, merged)}
    assert both == {our, their}


def test_merge_with_inconsistent_result():
    """Guards against an invalid merge of two documents that are each valid."""
    base = parse(example_values())
    added = example_values()
    added["databases"]["stock"] = json.loads(
        json.dumps(added["databases"]["credits"]).replace("71", "72")
    )
    removed = changed("databases.credits", DELETE)
    del removed["tenants"]["finance"]
    with pytest.raises(DocumentError, match=r"databases\.stock\.tenant"):
        merge_documents(base, parse(added), parse(removed))


def test_redaction():
    """Guards against a redacted document that reveals a hash or can be applied."""
    values = redact_document(parse(example_values()))
    assert example_values()["tenants"]["finance"]["users"]["clerk"]["password_hash"]
    with pytest.raises(DocumentError, match="password_hash"):
        parse(values)


def _large_document() -> Document:
    values = example_values()
    template = json.dumps(values["databases"]["collections"])
    for index in range(3_698):
        section = json.loads(template)
        for number, instance in enumerate(section["instances"].values()):
            instance["host"] = f"10.{index >> 8}.{index & 255}.{number}"
        values["databases"][f"database-{index}"] = section
    return msgspec.convert(values, Document)


@pytest.mark.parametrize("large", [False, True])
def test_stored_form(large):
    """Guards against a document of the design size that exceeds the store's limit."""
    document = _large_document() if large else parse(example_values())
    stored = StoredDocument(
        version=1, author="a", comment="", changed_at="", document=document
    )
    data = encode_stored(stored)
    assert len(data) < MAX_STORED_BYTES
    assert decode_stored(data) == stored


@pytest.mark.parametrize("data", [b"", b"x", b"{}", b"x\x9c", b"x\x9c" + b"\0" * 50])
def test_corrupt_stored_form(data):
    """Guards against a corrupt value that raises an unexpected exception."""
    with pytest.raises(msgspec.MsgspecError):
        decode_stored(data)


@pytest.mark.parametrize(
    ("name", "render"),
    [("configuration.md", render_reference), ("document.schema.json", render_schema)],
)
def test_reference_is_up_to_date(name, render):
    """Guards against a reference that does not match the schema."""
    assert (REPOSITORY / "docs" / "reference" / name).read_text() == render()


FUZZ_VALUES = (
    None,
    True,
    -1,
    0,
    1e308,
    float("nan"),
    "",
    "x" * 200,
    [],
    {},
    [[]],
    {"": 0},
)
FUZZ_CASES = int(os.environ.get("ROSEMARYWARD_FUZZ_CASES", "300"))


def _mutate(value: Any, random_source: random.Random) -> Any:
    """Return plain values with one random part replaced or removed."""
    if random_source.random() < 0.15 or not isinstance(value, dict | list) or not value:
        return random_source.choice(FUZZ_VALUES)
    keys = list(value) if isinstance(value, dict) else range(len(value))
    key = random_source.choice(list(keys))
    if random_source.random() < 0.1:
        del value[key]
    else:
        value[key] = _mutate(value[key], random_source)
    return value


def test_fuzzed_documents():
    """Guards against an exception other than `DocumentError` on any input."""
    random_source = random.Random(20)
    refused = 0
    for _ in range(FUZZ_CASES):
        values = _mutate(example_values(), random_source)
        text = json.dumps(values).encode()
        if random_source.random() < 0.5:
            position = random_source.randrange(len(text) + 1)
            text = text[:position] + random_source.randbytes(2) + text[position + 1 :]
        name = random_source.choice(["d.json", "d.yaml", "d.toml"])
        try:
            check_document(parse_document(text, name))
        except DocumentError:
            refused += 1
    assert 0 < refused <= FUZZ_CASES
