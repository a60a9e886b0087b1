"""Benchmarks that start real processes."""
