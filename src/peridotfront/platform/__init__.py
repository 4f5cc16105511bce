"""Adapter to the users' platform: its programs, settings, formats and protocols.

The adapter makes no decisions: it converts between the platform's messages and
peridotfront's types, and starts the programs.
"""
