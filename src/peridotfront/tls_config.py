"""TLS contexts and credentials of a process, built from its settings."""

import ssl

from .exceptions import SettingsInvalid
from .ini import Fault
from .settings import TlsSection
from .tls import (
    client_ssl_context,
    peer_channel_credentials,
    peer_server_credentials,
    server_ssl_context,
)
from .transport import Credentials

HOST_FILES = ("certificate_file", "key_file")
CALLER_FILES = ("caller_certificate_file", "caller_key_file")


def check_tls_files(section: TlsSection, source: str) -> None:
    """Check that the PEM files are readable and that each key fits its certificate.

    :param source: origin of the settings, for error messages.
    :raises SettingsInvalid: with all faults, if there are any.
    """
    if section.is_off:
        return
    pairs = [HOST_FILES]
    if section.caller_certificate_file:
        pairs.append(CALLER_FILES)
    faults = []
    for keys in pairs:
        try:
            server_ssl_context(*[getattr(section, key) for key in keys])
        except OSError as error:
            faults.append(_build_fault(section, keys[0], error))
    try:
        client_ssl_context(section.ca_file)
    except OSError as error:
        faults.append(_build_fault(section, "ca_file", error))
    if faults:
        raise SettingsInvalid(source, tuple(faults))


def _build_fault(section: TlsSection, key: str, error: OSError) -> Fault:
    return Fault("tls", key, getattr(section, key), f"can't be used: {error}")


def peer_credentials(section: TlsSection) -> Credentials:
    """Return the credentials for streams between hosts; empty if TLS is off.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off:
        return Credentials()
    files = (section.certificate_file, section.key_file, section.ca_file)
    return Credentials(
        server=peer_server_credentials(*files),
        channel=peer_channel_credentials(*files),
    )


def caller_ssl_context(section: TlsSection) -> ssl.SSLContext | None:
    """Return the TLS context for callers, or None for plain TCP.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off or not section.caller_certificate_file:
        return None
    return server_ssl_context(section.caller_certificate_file, section.caller_key_file)


def admin_ssl_context(section: TlsSection) -> ssl.SSLContext | None:
    """Return the TLS context for operators, or None for plain TCP.

    :raises OSError: if a PEM file can't be read.
    """
    if section.is_off:
        return None
    return server_ssl_context(section.certificate_file, section.key_file)
