"""Configuration document: schema, parsing, checks, differences and merge."""

from rosemaryward.decisions.document.changes import (
    DocumentChange,
    SectionConflictError,
    diff_documents,
    merge_documents,
    redact_document,
)
from rosemaryward.decisions.document.checks import (
    Problem,
    check_document,
    list_problems,
    parse_document,
)
from rosemaryward.decisions.document.formats import render_document
from rosemaryward.decisions.document.promotion import promote_document
from rosemaryward.decisions.document.reference import json_schema
from rosemaryward.decisions.document.schema import Document

__all__ = [
    "Document",
    "DocumentChange",
    "Problem",
    "SectionConflictError",
    "check_document",
    "diff_documents",
    "json_schema",
    "list_problems",
    "merge_documents",
    "parse_document",
    "promote_document",
    "redact_document",
    "render_document",
]
