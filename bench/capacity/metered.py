"""Run a command of the product and count the bytes of its sockets.

``python -m bench.capacity.metered FILE serve SETTINGS`` writes the total of bytes sent
and received to FILE again and again. The counts stand outside the product.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any, Final

_WRITE_SECONDS: Final = 0.1


class SocketMeter:
    """Count what every socket of the process sends and receives."""

    def __init__(self) -> None:
        self.total = 0

    def install(self) -> None:
        """Wrap the calls by which asyncio moves bytes."""
        for name in ("recv", "send"):
            self._wrap(name)

    def _wrap(self, name: str) -> None:
        original = getattr(socket.socket, name)

        def counted(own: socket.socket, *arguments: Any) -> Any:
            moved = original(own, *arguments)
            self.total += moved if isinstance(moved, int) else len(moved)
            return moved

        setattr(socket.socket, name, counted)


def main() -> None:
    """Count, and hand over to the product's commands."""
    target = Path(sys.argv[1])
    written = target.with_suffix(".new")
    meter = SocketMeter()
    meter.install()

    def write() -> None:
        while True:
            # Replaced as a whole: a reader that met a file just emptied would take
            # the total for 0, and the bytes since for less than none.
            written.write_text(str(meter.total), encoding="ascii")
            written.replace(target)
            time.sleep(_WRITE_SECONDS)

    threading.Thread(target=write, daemon=True).start()
    from mustardward.cli.main import main as run

    run(sys.argv[2:], prog_name="mustardward")


if __name__ == "__main__":
    main()
