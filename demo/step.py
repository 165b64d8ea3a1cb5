"""Times the steps of the demo and names them in errors."""

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
    Run the body as a step and print how long it took.

    :param name: the name of the step, for the output and errors.
    :raises DemoError: if the body raised; starts with the name.
    """
    started = time.monotonic()
    try:
        yield
    except Exception as exc:
        raise DemoError(f"{name}: {reason_of(exc)}") from exc
    print(f"{name}: {time.monotonic() - started:.1f} s", flush=True)


def reason_of(exc: BaseException) -> str:
    """Describe an exception; join those of a group with ``; ``."""
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(reason_of(inner) for inner in exc.exceptions)
    if isinstance(exc, TimeoutError):
        return "it took too long"
    return str(exc) or repr(exc)
