"""TLS of one process, as its settings ask for it."""

import ssl

from .settings import TlsSection
from .tls import peer_channel_credentials, peer_server_credentials, server_context
from .transport import Credentials


def peer_credentials(section: TlsSection) -> Credentials:
    """Return the credentials for streams between hosts; empty if TLS is off.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off:
        return Credentials()
    files = (section.ca_file, section.certificate_file, section.key_file)
    return Credentials(
        server=peer_server_credentials(*files),
        channel=peer_channel_credentials(*files),
    )


def caller_context(section: TlsSection) -> ssl.SSLContext | None:
    """Return the TLS context towards callers; None serves plain TCP.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off or not section.caller_certificate_file:
        return None
    return server_context(section.caller_certificate_file, section.caller_key_file)


def admin_context(section: TlsSection) -> ssl.SSLContext | None:
    """Return the TLS context towards operators; None serves plain TCP.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off:
        return None
    return server_context(section.certificate_file, section.key_file)
