"""Certificate authority for tests, and the certificates that it signs."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

LIFETIME = datetime.timedelta(days=1)
AUTHORITY_NAME = "test authority"


class Authority:
    """Certificate authority that signs certificates for host names and IP addresses.

    :param folder: folder for all files.
    """

    def __init__(self, folder):
        self.folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(AUTHORITY_NAME, self._key, "", is_authority=True)
        self.file = self._write("ca.pem", self._certificate)

    def issue(self, name, host_ip):
        """Write a certificate and its key; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key, host_ip)
        data = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        key_file = self.folder / f"{name}.key"
        key_file.write_bytes(data)
        return self._write(f"{name}.pem", certificate), str(key_file)

    def _sign(self, name, key, host_ip, is_authority=False):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(self._name(name))
            .issuer_name(self._name(AUTHORITY_NAME))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFETIME)
            .not_valid_after(now + LIFETIME)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        if host_ip:
            names = [x509.DNSName(name), x509.IPAddress(ipaddress.ip_address(host_ip))]
            builder = builder.add_extension(
                x509.SubjectAlternativeName(names), critical=False
            )
        return builder.sign(self._key, hashes.SHA256())

    @staticmethod
    def _name(text):
        return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])

    def _write(self, name, certificate):
        path = self.folder / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)
