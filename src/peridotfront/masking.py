"""The names of values that never appear in logs, dumps and error messages."""

MASK = "***"
SECRET_WORDS = frozenset(
    {"authorization", "password", "secret", "sha256", "token", "cookie"}
)
SECRET_NAMES = frozenset({"api_key", "bearer_key"})
PUBLIC_NAMES = frozenset({"fencing_token", "first_token"})


def is_secret(name: str) -> bool:
    """Tell from a field's name whether its value is secret.

    As a rule its last word decides: ``admin_token`` is secret and
    ``first_token_ms`` is not.

    :param name: a field's, key's or header's name.
    """
    name = name.lower().replace("-", "_")
    if name in PUBLIC_NAMES:
        return False
    if name in SECRET_NAMES:
        return True
    return name.rpartition("_")[2] in SECRET_WORDS
