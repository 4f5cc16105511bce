"""Generators of random identifiers."""

import secrets

ID_BYTES = 8


def new_change_id() -> str:
    """Generate an id for a change of the configuration."""
    return f"change-{secrets.token_hex(ID_BYTES)}"
