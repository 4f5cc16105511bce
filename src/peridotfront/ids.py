"""Random identifiers."""

import secrets

ID_BYTES = 8


def new_change_id() -> str:
    """Return an id for a change of the configuration."""
    return f"change-{secrets.token_hex(ID_BYTES)}"
