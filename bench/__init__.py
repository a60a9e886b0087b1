"""Experiments: product and baselines side by side on small deployments."""
