"""Reading of documents from YAML, TOML and JSON text.

Duplicate keys are refused in every format, because the usual parsers keep the last
value silently. YAML aliases are refused, because a short text with nested aliases
expands to a document of any size.
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

MAX_DOCUMENT_BYTES = 4_000_000  # bytes of text
DEPTH_LIMIT = 32


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
        if depth > DEPTH_LIMIT:
            raise DocumentError("document", f"nested deeper than {DEPTH_LIMIT} levels")


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


def _ending(name: str) -> str:
    ending = "." + name.rpartition(".")[2].lower()
    if ending not in PARSERS:
        accepted = ", ".join(sorted(PARSERS))
        raise DocumentError(name, f"expected a name ending in one of {accepted}")
    return ending


def parse_text(text: bytes, name: str) -> Any:
    """Return the plain values that a text describes.

    Parameters
    ----------
    text : bytes
        UTF-8.
    name : str
        File name; its ending selects the format.

    Raises
    ------
    DocumentError
        If the text is too long, is not UTF-8 or is malformed.
    """
    parser = PARSERS[_ending(name)]
    if len(text) > MAX_DOCUMENT_BYTES:
        problem = f"expected at most {MAX_DOCUMENT_BYTES} bytes, found {len(text)}"
        raise DocumentError(name, problem)
    try:
        return parser(text.decode())
    except (ValueError, yaml.YAMLError, RecursionError, OverflowError) as error:
        raise DocumentError(name, f"malformed text: {error}") from error


def render_values(values: dict[str, Any], name: str) -> str:
    """Return plain values as text in the format of a file name."""
    ending = _ending(name)
    if ending == ".toml":
        return tomlkit.dumps(values)
    if ending == ".json":
        return json.dumps(values, indent=2, ensure_ascii=False) + "\n"
    return yaml.safe_dump(values, sort_keys=False, allow_unicode=True)


def render_document(document: Document, name: str) -> str:
    """Return the document as text in the format of a file name.

    Parameters
    ----------
    document : Document
    name : str
        File name; its ending selects YAML, TOML or JSON.
    """
    return render_values(msgspec.to_builtins(document), name)
