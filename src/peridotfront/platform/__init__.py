"""Adapter to the users' platform: its names, formats and protocols.

The adapter makes no decisions. Each module decodes one kind of message into
peridotfront's own types, or encodes one from them.
"""
