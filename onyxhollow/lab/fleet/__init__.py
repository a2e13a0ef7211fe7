"""Clusters of real processes with injected faults, checked by the invariants of their logs."""
