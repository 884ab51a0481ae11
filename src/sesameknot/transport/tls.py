"""TLS contexts for mutual authentication between hosts."""

import ssl

from sesameknot.errors import SettingsError
from sesameknot.settings.process import TlsSettings


def server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a server context that requires a trusted client certificate.

    Raises
    ------
    SettingsError
        If a file cannot be read or holds no certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load_certificates(context, settings)


def client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a client context that presents a certificate and verifies the server's.

    The server's certificate must be valid for the IP address that is connected to.

    Raises
    ------
    SettingsError
        If a file cannot be read or holds no certificate or key.
    """
    return _load_certificates(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), settings)


def _load_certificates(
    context: ssl.SSLContext, settings: TlsSettings
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_verify_locations(cafile=settings.authority_file)
    except OSError as error:
        raise SettingsError(
            f"got {settings.authority_file!r}, expected certificates in PEM form: "
            f"{error}",
            step="tls.authority_file",
        ) from error
    try:
        context.load_cert_chain(settings.certificate_file, settings.key_file)
    except OSError as error:
        raise SettingsError(
            f"got {settings.certificate_file!r} and {settings.key_file!r}, expected a "
            f"certificate and its key in PEM form: {error}",
            step="tls.certificate_file",
        ) from error
    return context
