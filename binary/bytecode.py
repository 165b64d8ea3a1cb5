"""Compiles the archive's modules to bytecode."""

from __future__ import annotations

import importlib.util
import marshal

_UNCHECKED_HASH_FLAGS = b"\x01\x00\x00\x00"
_SOURCE_SUFFIX = ".py"

# Version 3 and later mark objects that are referenced elsewhere, so the
# bytes would depend on which modules the building process has loaded.
_MARSHAL_VERSION = 2


def compile_modules(contents: dict[str, bytes]) -> dict[str, bytes]:
    """
    Return the bytecode of each module by the name of its ``.pyc``.

    The archive contains sources as well, since an interpreter of
    another version ignores the bytecode and compiles the source.

    :param contents: the bytes of each file by its name.
    """
    return {
        f"{name}c": _bytecode(name, source)
        for name, source in contents.items()
        if name.endswith(_SOURCE_SUFFIX)
    }


def _bytecode(name: str, source: bytes) -> bytes:
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    return b"".join(
        (
            importlib.util.MAGIC_NUMBER,
            _UNCHECKED_HASH_FLAGS,
            importlib.util.source_hash(source),
            marshal.dumps(code, _MARSHAL_VERSION),
        )
    )
