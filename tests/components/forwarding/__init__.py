"""Test forwarding between entry nodes."""
