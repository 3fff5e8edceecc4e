"""Speak the platform's published protocols."""
