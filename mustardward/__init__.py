"""Manage fleet capacity and maintenance between callers and workers."""

from __future__ import annotations

__version__ = "0.1.0"
