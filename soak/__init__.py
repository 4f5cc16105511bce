"""Randomized soak test: real programs, injected faults, checked guarantees."""
