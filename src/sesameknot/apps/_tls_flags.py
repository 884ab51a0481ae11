"""Command-line flags for TLS connections to routers' peer addresses."""

import ssl

from absl import flags

from sesameknot.errors import SettingsError
from sesameknot.settings.process import TlsSettings
from sesameknot.transport.tls import client_context

_CERTIFICATE = flags.DEFINE_string(
    "certificate_file", "", "Certificate shown to routers' peer addresses."
)
_KEY = flags.DEFINE_string("key_file", "", "Key of the certificate.")
_AUTHORITY = flags.DEFINE_string(
    "authority_file", "", "Authority that signed the routers' certificates."
)


def peer_context() -> ssl.SSLContext | None:
    """Return the TLS context that the flags describe; None if no flag is given.

    Raises
    ------
    SettingsError
        If only some files are given, or one cannot be read.
    """
    files = (_CERTIFICATE.value, _KEY.value, _AUTHORITY.value)
    if not any(files):
        return None
    if not all(files):
        raise SettingsError(
            f"got {files!r}, expected a certificate, its key and an authority",
            step="--certificate_file, --key_file, --authority_file",
        )
    certificate_file, key_file, authority_file = files
    return client_context(
        TlsSettings(
            certificate_file=certificate_file,
            key_file=key_file,
            authority_file=authority_file,
        )
    )
