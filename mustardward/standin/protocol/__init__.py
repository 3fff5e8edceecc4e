"""Clients and data models of the platform's published protocols."""
