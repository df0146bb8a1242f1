"""Measurements: not tests, never timed in CI; results go to docs/measurements."""
