"""TLS contexts with mutual authentication."""

import ssl

from sesameknot.errors import SettingsError
from sesameknot.settings.process import TlsSettings


def server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that accepts only clients with a trusted certificate.

    Raises
    ------
    SettingsError
        If a file cannot be read or is no certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _loaded(context, settings)


def client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that presents a certificate and checks the server's.

    The server's certificate must name the IP number that is connected to.

    Raises
    ------
    SettingsError
        If a file cannot be read or is no certificate or key.
    """
    return _loaded(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), settings)


def _loaded(context: ssl.SSLContext, settings: TlsSettings) -> ssl.SSLContext:
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
