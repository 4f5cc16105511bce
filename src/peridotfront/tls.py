"""TLS contexts and gRPC credentials from PEM files."""

import ssl
from pathlib import Path

import grpc


def server_ssl_context(certificate_file: str, key_file: str) -> ssl.SSLContext:
    """Return the TLS context of a server.

    :param certificate_file: PEM file with the certificate chain.
    :param key_file: PEM file with the private key, not encrypted.
    :raises OSError: if a file can't be read or the key does not fit the certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    context.load_cert_chain(certificate_file, key_file)
    return context


def client_ssl_context(authority_file: str) -> ssl.SSLContext:
    """Return the TLS context of a client that trusts the given certificates.

    :param authority_file: PEM file with the trusted certificates.
    :raises OSError: if the file cannot be read.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(authority_file)
    return context


def peer_server_credentials(
    certificate_file: str, key_file: str, authority_file: str
) -> grpc.ServerCredentials:
    """Return gRPC server credentials that require a certificate of every peer.

    :raises OSError: if a file cannot be read.
    """
    return grpc.ssl_server_credentials(
        [(_read(key_file), _read(certificate_file))],
        root_certificates=_read(authority_file),
        require_client_auth=True,
    )


def peer_channel_credentials(
    certificate_file: str, key_file: str, authority_file: str
) -> grpc.ChannelCredentials:
    """Return gRPC channel credentials that present this process's certificate.

    :raises OSError: if a file cannot be read.
    """
    return grpc.ssl_channel_credentials(
        root_certificates=_read(authority_file),
        private_key=_read(key_file),
        certificate_chain=_read(certificate_file),
    )


def _read(path: str) -> bytes:
    return Path(path).read_bytes()
