"""Names of secret values, which never appear in logs, dumps and error messages."""

MASK = "***"
SECRET_WORDS = frozenset(
    {"authorization", "password", "secret", "sha256", "token", "cookie"}
)
SECRET_NAMES = frozenset({"api_key", "bearer_key"})
PUBLIC_NAMES = frozenset({"fencing_token", "first_token"})


def is_secret(name: str) -> bool:
    """Return whether the value of a field is secret, judging by its name.

    The last word decides, except for the listed names: ``admin_token`` is secret and
    ``first_token_ms`` is not.

    :param name: name of a field, key or header.
    """
    name = name.lower().replace("-", "_")
    if name in PUBLIC_NAMES:
        return False
    if name in SECRET_NAMES:
        return True
    return name.rpartition("_")[2] in SECRET_WORDS
