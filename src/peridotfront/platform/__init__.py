"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides. Each module decodes one kind of message into the product's own
types, or encodes one from them.
"""
