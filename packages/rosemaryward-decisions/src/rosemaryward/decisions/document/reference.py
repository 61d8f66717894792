"""Generator of the document's JSON Schema and of its reference page.

``python -m rosemaryward.decisions.document DIRECTORY`` writes both files.
"""

import json
import re
from pathlib import Path
from typing import Any

import msgspec

from rosemaryward.decisions.document import schema

__all__ = ["json_schema", "render_reference", "render_schema", "write_files"]

PAGE_NAME = "configuration.md"
SCHEMA_NAME = "document.schema.json"

SECTIONS: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    ("", schema.Document),
    ("databases.NAME", schema.DatabaseSection),
    ("databases.NAME.instances.NAME", schema.InstanceSection),
    ("tenants.NAME", schema.TenantSection),
    ("tenants.NAME.users.NAME", schema.UserSection),
    ("tenants.NAME.rules[]", schema.RuleSection),
    ("tenants.NAME.limits", schema.TenantLimits),
    ("ranks.NAME", schema.RankSection),
)

INTRODUCTION = """# Configuration reference

An environment has one document, in YAML, TOML or JSON. Unknown fields, duplicate
keys and YAML aliases are refused. A machine-readable form of this page is
`document.schema.json`. Both files are generated from the schema with
`python -m rosemaryward.decisions.document docs/reference`.

Checks between fields: failure domains belong to one region; instances name a known
region and a failure domain of that region; a group has an odd number of instances,
at least 3; addresses are used once; slots do not exceed connections; rules name
known ranks, databases and users of their tenant; staleness limits need a replica
and do not apply to writes; user names belong to one tenant; the floors of the ranks
`urgent`, `normal` and `bulk` sum to at most 1, where a rank that is left out counts
with the default.
"""

FIELD_LINE = re.compile(r"^(\w+(?:, \w+)*) : ")


def _field_texts(section: type[msgspec.Struct]) -> dict[str, str]:
    """Return the field descriptions from a class docstring's Parameters section."""
    lines = (section.__doc__ or "").partition("----------\n")[2].splitlines()
    texts: dict[str, list[str]] = {}
    names: list[str] = []
    for line in (line.strip() for line in lines):
        match = FIELD_LINE.match(line)
        if match:
            names = match[1].split(", ")
            texts.update({name: [] for name in names})
        else:
            for name in names:
                texts[name].append(line)
    return {name: " ".join(parts).strip() for name, parts in texts.items()}


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of the document."""
    result = msgspec.json.schema(schema.Document)
    for _, section in SECTIONS:
        definition = result["$defs"][section.__name__]
        definition["description"] = (section.__doc__ or "").split("\n")[0]
        for name, text in _field_texts(section).items():
            if text:
                definition["properties"][name]["description"] = text
    return result


def _type_text(field: dict[str, Any]) -> str:
    if "$ref" in field:
        return "table"
    kind = str(field.get("type", ""))
    if kind == "array":
        return f"list of {_type_text(field['items'])}"
    if kind == "object":
        return "table by name"
    return kind


def _range_text(field: dict[str, Any]) -> str:
    signs = [("exclusiveMinimum", ">"), ("minimum", "≥"), ("maximum", "≤")]
    parts = [f"{sign} {field[key]:,}" for key, sign in signs if key in field]
    if "pattern" in field:
        parts.append("`" + field["pattern"].removesuffix(r"(?!\n)") + "`")
    return ", ".join(parts)


def _default_text(field: dict[str, Any], required: bool) -> str:
    return "required" if required else f"`{json.dumps(field.get('default'))}`"


def _render_section(path: str, definition: dict[str, Any]) -> list[str]:
    lines = [
        f"## {f'`{path}`' if path else 'Top level'}",
        "",
        definition["description"],
        "",
        "| field | type | accepted | default | description |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, field in definition["properties"].items():
        required = name in definition.get("required", ())
        cells = [
            f"`{name}`",
            _type_text(field),
            _range_text(field),
            _default_text(field, required),
            field.get("description", ""),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return [*lines, ""]


def render_reference() -> str:
    """Return the reference page in Markdown."""
    definitions = json_schema()["$defs"]
    lines = [INTRODUCTION]
    for path, section in SECTIONS:
        lines += _render_section(path, definitions[section.__name__])
    return "\n".join(lines)


def render_schema() -> str:
    """Return the text of the JSON Schema file."""
    return json.dumps(json_schema(), indent=2, ensure_ascii=False) + "\n"


def write_files(directory: Path) -> None:
    """Write the reference page and the JSON Schema to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    (directory / PAGE_NAME).write_text(render_reference())
    (directory / SCHEMA_NAME).write_text(render_schema())
