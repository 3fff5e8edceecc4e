"""Run the commands from the one file; becomes its ``__main__``.

Python imports source and byte code straight from the file. The system's loader can map
an extension module only from a file of its own, so each is written to a private
temporary file, mapped, and unlinked at once: nothing is left behind, nothing can go
stale, and only these few megabytes take room where the file system is memory-backed.
"""

from __future__ import annotations

import os
import sys
import tempfile
import zipfile
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType

FOLDER_VARIABLE = "MUSTARDWARD_FOLDER"
"""Environment variable that names the folder for the temporary files."""


class UnlinkingLoader(ExtensionFileLoader):
    """Load an extension module from a temporary file, which it removes."""

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Map the file, and unlink it whether or not that worked."""
        try:
            return super().create_module(spec)
        finally:
            os.unlink(self.path)


class ArchiveExtensionFinder(MetaPathFinder):
    """Find extension modules within the one file.

    :param archive: path of the one file.
    """

    def __init__(self, archive: str) -> None:
        self._archive = archive
        with zipfile.ZipFile(archive) as opened:
            names = opened.namelist()
        self._members = {
            module: name for name in names if (module := module_name(name)) is not None
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return a spec over a fresh temporary file, or nothing."""
        member = self._members.get(fullname)
        if member is None:
            return None
        location = self._write(member)
        loader = UnlinkingLoader(fullname, location)
        return spec_from_file_location(fullname, location, loader=loader)

    def _write(self, member: str) -> str:
        folder = os.environ.get(FOLDER_VARIABLE) or None
        descriptor, location = tempfile.mkstemp(suffix=".so", dir=folder)
        with (
            zipfile.ZipFile(self._archive) as opened,
            os.fdopen(descriptor, "wb") as to,
        ):
            to.write(opened.read(member))
        return location


def module_name(member: str) -> str | None:
    """Return the module that a member of the archive holds, if it is an extension."""
    for suffix in EXTENSION_SUFFIXES:
        if member.endswith(suffix):
            return member.removesuffix(suffix).replace("/", ".")
    return None


def run() -> None:
    """Make the extensions importable and hand over to the commands."""
    sys.meta_path.append(ArchiveExtensionFinder(sys.path[0]))
    from mustardward.cli import main

    main(prog_name="mustardward")


if __name__ == "__main__":
    run()
