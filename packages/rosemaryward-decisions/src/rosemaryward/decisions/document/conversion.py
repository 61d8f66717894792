"""Conversion of plain values to the typed document.

`msgspec` checks types and ranges quickly, but the paths in its errors lack the keys of
mappings. A document that it refuses is therefore validated again field by field to
find the exact path.
"""

from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from rosemaryward.decisions.document.schema import Document
from rosemaryward.decisions.errors import DocumentError

__all__ = ["check_ranges", "convert_document"]

MAX_VALUE_CHARACTERS = 60  # of a wrong value in an error message

TYPE_NAMES: dict[type, str] = {
    int: "an integer",
    float: "a number",
    str: "a text",
    bool: "true or false",
}


def _join(path: str, key: object) -> str:
    name = str(key)[:MAX_VALUE_CHARACTERS]
    return f"{path}.{name}" if path else name


def describe_value(value: object) -> str:
    """Return the value for an error message, cut to `MAX_VALUE_CHARACTERS`."""
    text = repr(value)
    return (
        text
        if len(text) <= MAX_VALUE_CHARACTERS
        else text[: MAX_VALUE_CHARACTERS - 3] + "..."
    )


def describe_type(annotation: Any) -> str:
    """Return the accepted type and range of a field, such as "an integer >= 1"."""
    if get_origin(annotation) is not Annotated:
        return TYPE_NAMES.get(annotation, "a table or list")
    base, *metas = get_args(annotation)
    parts = [TYPE_NAMES.get(base, str(base))]
    for meta in metas:
        for sign, bound in [(">", meta.gt), (">=", meta.ge), ("<=", meta.le)]:
            if bound is not None:
                parts.append(f"{sign} {bound:g}" if bound < 1e6 else f"{sign} {bound}")
        if meta.pattern is not None:
            parts.append("matching " + meta.pattern.removesuffix(r"(?!\n)"))
    return (
        " ".join(parts[:1]) + ("" if len(parts) == 1 else " ") + " and ".join(parts[1:])
    )


def _is_struct(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, msgspec.Struct)


def _validate_leaf(annotation: Any, value: object, path: str) -> None:
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        expected = describe_type(annotation)
        found = describe_value(value)
        if path.endswith(".password_hash"):
            found = "another text"  # the value may be a password in plain text
        problem = f"expected {expected}, found {found}"
        raise DocumentError(path or "document", problem) from error


def _validate_struct(annotation: Any, value: object, path: str) -> None:
    if not isinstance(value, dict):
        problem = f"expected a table, found {describe_value(value)}"
        raise DocumentError(path or "document", problem)
    hints = get_type_hints(annotation, include_extras=True)
    for key in value:
        if key not in hints:
            accepted = ", ".join(hints)
            raise DocumentError(
                _join(path, key), f"unknown field; the accepted fields are {accepted}"
            )
    for field in msgspec.structs.fields(annotation):
        if field.name in value:
            _validate(hints[field.name], value[field.name], _join(path, field.name))
        elif field.required:
            raise DocumentError(_join(path, field.name), "required field is missing")


def _validate_mapping(annotation: Any, value: object, path: str) -> None:
    if not isinstance(value, dict):
        problem = f"expected a table of names, found {describe_value(value)}"
        raise DocumentError(path, problem)
    key_type, value_type = get_args(annotation)
    for key, item in value.items():
        _validate_leaf(key_type, key, _join(path, key))
        _validate(value_type, item, _join(path, key))


def _validate_sequence(annotation: Any, value: object, path: str) -> None:
    if not isinstance(value, list | tuple):
        problem = f"expected a list, found {describe_value(value)}"
        raise DocumentError(path, problem)
    for index, item in enumerate(value):
        _validate(get_args(annotation)[0], item, f"{path}[{index}]")


def _validate(annotation: Any, value: object, path: str) -> None:
    """Raise a `DocumentError` for the first part of `value` that is not valid."""
    origin = get_origin(annotation)
    if _is_struct(annotation):
        _validate_struct(annotation, value, path)
    elif origin is dict:
        _validate_mapping(annotation, value, path)
    elif origin is tuple:
        _validate_sequence(annotation, value, path)
    else:
        _validate_leaf(annotation, value, path)


def convert_document(raw: object) -> Document:
    """Convert plain values to a typed document.

    Parameters
    ----------
    raw : object
        Plain values, as a parser returns them.

    Raises
    ------
    DocumentError
        If a field is missing, unknown, of the wrong type or out of range.
    """
    try:
        return msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        _validate(Document, raw, "")
        raise DocumentError("document", str(error)) from error


def check_ranges(document: Document) -> None:
    """Check types and ranges of a document that may have been built in code.

    Raises
    ------
    DocumentError
        If a field is of the wrong type or out of range.
    """
    try:
        msgspec.json.decode(msgspec.json.encode(document), type=Document)
    except msgspec.MsgspecError as error:
        raw = msgspec.to_builtins(document)
        _validate(Document, raw, "")
        raise DocumentError("document", str(error)) from error
