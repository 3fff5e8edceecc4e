"""Schedule callers' work on a fleet of workers and manage its maintenance."""

from __future__ import annotations

__version__ = "0.1.0"
