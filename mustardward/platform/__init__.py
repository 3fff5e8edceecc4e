"""Speak the users' platform: names, formats and calls, decoded once into types.

Nothing here decides. What the calls mean for the product stands in the components.
"""
