"""Benchmarks of the placement policy, in virtual time, and of processor costs."""
