"""Decide which task runs where and when: state and event in, commands out.

Nothing in here reads a clock, makes a call or waits.
"""
