"""Compiled forms of the archive's modules."""

from __future__ import annotations

import importlib.util
import marshal

_UNCHECKED = b"\x01\x00\x00\x00"
_SUFFIX = ".py"

# Later formats mark objects that other modules refer to, so the bytes
# would depend on what else the building process has loaded.
_FORMAT = 2


def compile_modules(contents: dict[str, bytes]) -> dict[str, bytes]:
    """
    Return bytecode for each module, by the name of its file.

    An interpreter of another version passes over the bytecode and
    compiles the source, which is why the archive carries both.

    :param contents: the files of the archive by name.
    """
    return {
        f"{name}c": _bytecode(name, source)
        for name, source in contents.items()
        if name.endswith(_SUFFIX)
    }


def _bytecode(name: str, source: bytes) -> bytes:
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    return b"".join(
        (
            importlib.util.MAGIC_NUMBER,
            _UNCHECKED,
            importlib.util.source_hash(source),
            marshal.dumps(code, _FORMAT),
        )
    )
