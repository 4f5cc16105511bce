"""A randomized soak: the real programs, faults from outside, promises checked."""
