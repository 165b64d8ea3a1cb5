"""Steps of the demo, timed and named in failures."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from demo.demo_error import DemoError

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def step(name: str) -> Iterator[None]:
    """
    Print how long a step took.

    :raises DemoError: if the step failed, with its name.
    """
    started = time.monotonic()
    try:
        yield
    except Exception as exc:
        raise DemoError(f"{name}: {reason_of(exc)}") from exc
    print(f"{name}: {time.monotonic() - started:.1f} s", flush=True)


def reason_of(exc: BaseException) -> str:
    """Return why something failed, also if several tasks did."""
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(reason_of(inner) for inner in exc.exceptions)
    if isinstance(exc, TimeoutError):
        return "it took too long"
    return str(exc) or repr(exc)
