"""Start a command of the product with a mutant and a cut network, for histories.

``python -m bench.history.launch [--mutant NAME] [--cut-file FILE] serve SETTINGS``.
The product itself has no such switch; everything is patched from here.
"""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path
from typing import Any, Final

_POLL_SECONDS: Final = 0.1


class CutNetwork:
    """Refuse and reset connections to the addresses that a file names.

    :param cut_file: one address prefix a line (``127.20.2.``); read again and again.
    """

    def __init__(self, cut_file: Path) -> None:
        self._cut_file = cut_file
        self._open: set[tuple[str, asyncio.Transport]] = set()
        self._watcher: asyncio.Task[None] | None = None

    def install(self) -> None:
        """Patch the loop's way to connect."""
        network = self
        original = asyncio.base_events.BaseEventLoop.create_connection

        async def create_connection(
            loop: Any, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            network._watch(loop)
            if network._is_cut(str(host)):
                raise ConnectionRefusedError("cut by the history's network")
            made = await original(loop, factory, host, port, **options)
            network._open.add((str(host), made[0]))
            return made

        setattr(  # noqa: B010 - mypy refuses the plain assignment to a method
            asyncio.base_events.BaseEventLoop, "create_connection", create_connection
        )

    def _watch(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._watcher is None:
            self._watcher = loop.create_task(self._async_reset_cut())

    async def _async_reset_cut(self) -> None:
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            for host, transport in list(self._open):
                if transport.is_closing():
                    self._open.discard((host, transport))
                elif self._is_cut(host):
                    transport.abort()

    def _is_cut(self, host: str) -> bool:
        try:
            prefixes = self._cut_file.read_text(encoding="ascii").split()
        except FileNotFoundError:
            return False
        return any(host.startswith(prefix) for prefix in prefixes)


def main() -> None:
    """Patch, then hand over to the product's commands."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mutant", default="")
    parser.add_argument("--provoke", default="")
    parser.add_argument("--cut-file", type=Path)
    options, arguments = parser.parse_known_args()
    if options.cut_file is not None:
        CutNetwork(options.cut_file).install()
    if options.mutant or options.provoke:
        from .mutants import MUTANTS

        MUTANTS[options.mutant or options.provoke].provoke()
        if options.mutant:
            MUTANTS[options.mutant].remove()
    from mustardward.cli.main import main as run

    run(arguments, prog_name="mustardward")


if __name__ == "__main__":
    main()
