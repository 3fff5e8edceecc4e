"""Provide clients, names and data formats of the users' platform.

Responses are decoded into types here; decisions are made in the components.
"""
