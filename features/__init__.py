"""Features of mangogauge, run by behave; they mirror the package's layout."""
