"""Measures the placement policy in virtual time against small engine models."""
