"""Measurements; each prints JSON lines."""
