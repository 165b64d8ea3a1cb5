"""The strict loader of settings files."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from burdockgap.settings.problem import Problem
from burdockgap.settings.reader import Reader

if TYPE_CHECKING:
    from pathlib import Path

    from burdockgap.settings.settings import Settings


def load_settings(path: str | Path) -> Result[Settings, list[Problem]]:
    """
    Load and validate a settings file.

    :param path: the TOML file.
    :return: the settings, or every problem of the file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        return _failed(path, f"cannot be read: {exc.strerror}")
    except UnicodeDecodeError:
        return _failed(path, "is not UTF-8 text; save it as UTF-8")
    return parse_settings(text, str(path))


def parse_settings(text: str, path: str) -> Result[Settings, list[Problem]]:
    """
    Parse and validate the text of a settings file.

    :param text: TOML text.
    :param path: the path of its file, named in problems.
    :return: the settings, or every problem of the text.
    """
    try:
        document: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return _failed(path, f"is not valid TOML: {exc}")
    reader = Reader(path)
    settings = reader.read(document)
    if reader.problems:
        return Failure(reader.problems)
    return Success(settings)


def _failed(path: str | Path, text: str) -> Result[Settings, list[Problem]]:
    """Return a failure with one problem about the file as a whole."""
    return Failure([Problem(path=str(path), where="", text=text)])
