"""Certificate authority for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from sesameknot.settings.process import TlsSettings


class Authority:
    """A certificate authority that issues certificates to hosts."""

    def __init__(self, directory, name):
        self.directory = directory
        self.name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(name, self._key.public_key(), authority=True)
        self._write(f"{name}.pem", _pem(self._certificate))

    def issue(self, name, address="127.0.0.1"):
        """Issue a certificate for ``address`` and return the host's TLS settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key.public_key(), address=address)
        return TlsSettings(
            certificate_file=self._write(f"{name}.crt", _pem(certificate)),
            key_file=self._write(
                f"{name}.key",
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                ),
            ),
            authority_file=str(self.directory / f"{self.name}.pem"),
        )

    def _sign(self, name, public_key, *, address="", authority=False):
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, self.name)])
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), True)
        )
        if address:
            names = [x509.IPAddress(ipaddress.ip_address(address))]
            builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name, data):
        path = self.directory / name
        path.write_bytes(data)
        return str(path)


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
