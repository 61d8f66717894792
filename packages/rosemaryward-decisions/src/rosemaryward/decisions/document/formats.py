"""Parsing and rendering of documents as YAML, TOML and JSON.

Duplicate keys are refused in every format, because common parsers silently keep the
last value. YAML aliases are refused, because a short text with nested aliases can
expand to a document of arbitrary size.
"""

import json
import tomllib
from collections.abc import Callable
from typing import Any

import msgspec
import tomlkit
import yaml

from rosemaryward.decisions.document.schema import Document
from rosemaryward.decisions.errors import DocumentError

__all__ = ["MAX_DOCUMENT_BYTES", "parse_text", "render_document", "render_values"]

MAX_DOCUMENT_BYTES = 4_000_000  # size of the text
MAX_NESTING_LEVELS = 32


class _StrictLoader(yaml.CSafeLoader):
    """YAML loader that refuses duplicate keys."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        seen: set[str] = set()
        for key, _ in node.value:
            if not isinstance(key.value, str):
                raise DocumentError("document", "expected names as keys, found a list")
            if key.value in seen:
                raise DocumentError("document", f"duplicate key {key.value!r}")
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def _check_yaml_events(text: str) -> None:
    depth = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            problem = f"aliases are not accepted, found *{event.anchor}"
            raise DocumentError("document", problem)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_NESTING_LEVELS:
            raise DocumentError(
                "document", f"nested deeper than {MAX_NESTING_LEVELS} levels"
            )


def _parse_yaml(text: str) -> Any:
    _check_yaml_events(text)
    return yaml.load(text, Loader=_StrictLoader)


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise DocumentError("document", f"duplicate key {duplicate!r}")
    return result


def _parse_json(text: str) -> Any:
    return json.loads(text, object_pairs_hook=_unique_pairs)


PARSERS: dict[str, Callable[[str], Any]] = {
    ".yaml": _parse_yaml,
    ".yml": _parse_yaml,
    ".toml": tomllib.loads,
    ".json": _parse_json,
}


def _file_suffix(name: str) -> str:
    suffix = "." + name.rpartition(".")[2].lower()
    if suffix not in PARSERS:
        accepted = ", ".join(sorted(PARSERS))
        raise DocumentError(name, f"expected a name ending in one of {accepted}")
    return suffix


def parse_text(text: bytes, name: str) -> Any:
    """Parse a document text into plain values.

    Parameters
    ----------
    text : bytes
        Text in UTF-8.
    name : str
        File name; its suffix selects the format.

    Raises
    ------
    DocumentError
        If the text is too long, not in UTF-8 or malformed.
    """
    parser = PARSERS[_file_suffix(name)]
    if len(text) > MAX_DOCUMENT_BYTES:
        problem = f"expected at most {MAX_DOCUMENT_BYTES} bytes, found {len(text)}"
        raise DocumentError(name, problem)
    try:
        return parser(text.decode())
    except (ValueError, yaml.YAMLError, RecursionError, OverflowError) as error:
        raise DocumentError(name, f"malformed text: {error}") from error


def render_values(values: dict[str, Any], name: str) -> str:
    """Return plain values as text in the format that the suffix of `name` selects."""
    suffix = _file_suffix(name)
    if suffix == ".toml":
        return tomlkit.dumps(values)
    if suffix == ".json":
        return json.dumps(values, indent=2, ensure_ascii=False) + "\n"
    return yaml.safe_dump(values, sort_keys=False, allow_unicode=True)


def render_document(document: Document, name: str) -> str:
    """Return the document as text.

    Parameters
    ----------
    document : Document
    name : str
        File name; its suffix selects YAML, TOML or JSON.
    """
    return render_values(msgspec.to_builtins(document), name)
