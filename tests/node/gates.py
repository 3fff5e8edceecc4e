"""Hold an entry's process at a stage of its life until a test lets it go on."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Final

import anyio
from anyio.abc import Process

GATE_TIMEOUT_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.01

IMPORTING: Final = "importing"
SETTINGS: Final = "settings"
EXITING: Final = "exiting"

_WAITING: Final = "S"
_GATED_MODULE: Final = "anyio"
"""The first library that an entry imports."""

# The object is collected with the modules, after the interpreter has given up the
# handlers that are written in Python.
_STAND_IN: Final = f"""
import importlib, os, sys

folder = os.path.dirname(__file__)

class Last:
    def __del__(self, open=os.open, read=os.read, path=folder + "/{EXITING}"):
        read(open(path, {os.O_RDONLY}), 1)

if os.path.exists(folder + "/{EXITING}"):
    sys.last = Last()
with open(folder + "/{IMPORTING}") as gate:
    gate.read()
sys.path.remove(folder)
del sys.modules[__name__]
importlib.import_module(__name__)
"""


def is_waiting(process: Process) -> bool:
    """Return whether a process waits, with no signal left to be handled.

    A handler that is written in Python runs after a wait that its signal has ended, but
    not during one that begins between the signal and the handler.
    """
    try:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return False
    rows = dict(row.split(":", 1) for row in status.splitlines() if ":" in row)
    pending = int(rows["ShdPnd"], 16) | int(rows["SigPnd"], 16)
    return pending == 0 and rows["State"].split()[0] == _WAITING


class Gate:
    """Named pipe that a process opens to read, and at which it waits."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path: Final = folder / name
        os.mkfifo(self.path)
        self._descriptor: int | None = None

    async def async_wait_reached(self, process: Process) -> None:
        """Wait until the process waits at the gate.

        :raises ProcessLookupError: if it has ended before.
        """
        with anyio.fail_after(GATE_TIMEOUT_SECONDS):
            while not (self._is_opened() and is_waiting(process)):
                if process.returncode is not None:
                    raise ProcessLookupError(f"exit code {process.returncode}")
                await anyio.sleep(POLL_SECONDS)

    def _is_opened(self) -> bool:
        if self._descriptor is None:
            with suppress(OSError):
                # Refused as long as nobody has opened the pipe to read.
                self._descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        return self._descriptor is not None

    def open(self, content: bytes = b"") -> None:
        """Let the process go on, with what it is to read."""
        assert self._descriptor is not None
        os.write(self._descriptor, content)
        os.close(self._descriptor)
        self._descriptor = None


def gate_imports(folder: Path) -> dict[str, str]:
    """Hold an entry's first import of a library; return the variables for that.

    It waits at the gate ``importing``, and at ``exiting`` if that gate exists.
    """
    (folder / f"{_GATED_MODULE}.py").write_text(_STAND_IN, encoding="utf-8")
    paths = [str(folder), *filter(None, [os.environ.get("PYTHONPATH")])]
    return {"PYTHONPATH": os.pathsep.join(paths)}
