"""Build the one file that runs every command without an installed copy.

``python -m bench.binary`` writes ``dist/mustardward``.
"""

from __future__ import annotations

import argparse
import importlib.util
import marshal
import re
import stat
import zipfile
from collections.abc import Iterator
from importlib.metadata import Distribution, distribution
from importlib.util import source_hash
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
PROJECT: Final = "mustardward"
DEFAULT_TARGET: Final = ROOT / "dist" / PROJECT
_SHEBANG: Final = b"#!/usr/bin/env python3.11\n"
_UNCHECKED_HASH: Final = (1).to_bytes(4, "little")
"""Flags of byte code (PEP 552) that is bound to a hash and trusted unread."""
_TIMESTAMP: Final = (2026, 1, 1, 0, 0, 0)
_REQUIREMENT: Final = re.compile(r"^([A-Za-z0-9._-]+)\s*(?:\[([^\]]*)\])?")


def required_distributions(name: str = PROJECT) -> dict[str, Distribution]:
    """Return the distributions that the project needs to run, without its extras."""
    found: dict[str, Distribution] = {}
    waiting = list(_requirements(distribution(name), frozenset()))
    while waiting:
        wanted, extras = waiting.pop()
        key = re.sub(r"[-_.]+", "-", wanted).lower()
        known = found.get(key)
        if known is not None and not extras:
            continue
        item = known or distribution(wanted)
        found[key] = item
        waiting.extend(_requirements(item, extras))
    return found


def _requirements(
    item: Distribution, extras: frozenset[str]
) -> Iterator[tuple[str, frozenset[str]]]:
    from packaging.requirements import Requirement

    for text in item.requires or ():
        requirement = Requirement(text)
        marker = requirement.marker
        environments = [{"extra": extra} for extra in (extras or {""})]
        if marker is None or any(marker.evaluate(env) for env in environments):
            yield requirement.name, frozenset(requirement.extras)


def project_members() -> Iterator[tuple[str, bytes]]:
    """Yield the project's own files."""
    for path in sorted((ROOT / PROJECT).rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            yield path.relative_to(ROOT).as_posix(), path.read_bytes()


def library_members() -> Iterator[tuple[str, bytes]]:
    """Yield the files of the libraries, without scripts and caches."""
    for _, item in sorted(required_distributions().items()):
        for entry in sorted(item.files or (), key=str):
            name = entry.as_posix()
            if name.startswith("..") or "__pycache__" in entry.parts:
                continue
            yield name, Path(str(entry.locate())).read_bytes()


def build(target: Path) -> Path:
    """Write the one file and return its path.

    Byte code stands beside the source, bound to its hash and not to its time, so the
    build gives the same bytes each time.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as stream:
        stream.write(_SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            _add(archive, "__main__.py", _main_source())
            for name, data in [*project_members(), *library_members()]:
                _add(archive, name, data)
    target.chmod(target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    return target


def _main_source() -> bytes:
    return (ROOT / "bench" / "binary_main.py").read_bytes()


def _add(archive: zipfile.ZipFile, name: str, data: bytes) -> None:
    archive.writestr(_info(name), data, zipfile.ZIP_DEFLATED)
    if name.endswith(".py") and name != "__main__.py":
        archive.writestr(_info(name + "c"), _byte_code(name, data))


def _info(name: str) -> zipfile.ZipInfo:
    info = zipfile.ZipInfo(name, _TIMESTAMP)
    info.compress_type = zipfile.ZIP_DEFLATED
    return info


def _byte_code(name: str, source: bytes) -> bytes:
    code = compile(source, name, "exec", dont_inherit=True)
    header = importlib.util.MAGIC_NUMBER + _UNCHECKED_HASH + source_hash(source)
    return header + marshal.dumps(code)


def main() -> None:
    """Build where the command line says and print the size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=DEFAULT_TARGET)
    target = build(parser.parse_args().target)
    print(f"binary={target.name} bytes={target.stat().st_size}")


if __name__ == "__main__":
    main()
