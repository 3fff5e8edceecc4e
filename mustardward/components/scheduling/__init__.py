"""Decide which task runs where and when: events in, commands out.

Nothing in this package reads a clock, does I/O or blocks.
"""
