"""Validation of a document that replaces the active one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result

from burdockgap.config.check_change import check_change
from burdockgap.config.parse import parse_document

if TYPE_CHECKING:
    from burdockgap.config.document import Document
    from burdockgap.config.problem import Problem


def read_replacement(
    old: Document, text: str
) -> Result[Document, list[Problem]]:
    """
    Parse a document and check that it may replace the active one.

    :param old: the active document.
    :param text: the new document as TOML.
    :return: the new document, or every problem found.
    """
    parsed = parse_document(text)
    if not is_successful(parsed):
        return parsed
    problems = check_change(old, parsed.unwrap())
    return Failure(problems) if problems else parsed
