from __future__ import annotations

import asyncio
import datetime
import ipaddress
import os
import ssl
import tempfile
import unittest
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from geraniumbend.certificates import (
    SYSTEM_CERTIFICATE_VARIABLES,
    client_certificates,
    listener_certificates,
    skip_system_certificates,
)
from geraniumbend.errors import SettingsError
from geraniumbend.settings import TlsSettings


def write_certificate(folder, name):
    """Write a self-signed certificate for 127.0.0.1 and return its settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "cert.pem").write_bytes(pem)
    (folder / f"{name}.pem").write_bytes(pem)
    encoded = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / "key.pem").write_bytes(encoded)
    return TlsSettings(str(folder / "cert.pem"), str(folder / "key.pem"))


class CertificatesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.settings = write_certificate(self.folder, "first")
        self.listener = listener_certificates(self.settings)

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(
            echo, "127.0.0.1", 0, ssl=self.listener.context
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def connect(self, authority):
        trusted = TlsSettings(authority=str(self.folder / f"{authority}.pem"))
        context = client_certificates(trusted).context
        return await asyncio.open_connection("127.0.0.1", self.port, ssl=context)

    async def test_new_certificate_is_used_and_open_connection_stays_open(self):
        reader, writer = await self.connect("first")
        write_certificate(self.folder, "second")
        self.assertTrue(self.listener.reload_if_changed())
        _, other = await self.connect("second")
        with self.assertRaises(ssl.SSLCertVerificationError):
            await self.connect("first")
        writer.write(b"still open")
        self.assertEqual(await reader.readexactly(10), b"still open")
        writer.close()
        other.close()

    async def test_damaged_files_leave_the_earlier_certificate_in_use(self):
        (self.folder / "cert.pem").write_text("damaged")
        self.assertFalse(self.listener.reload_if_changed())
        _, writer = await self.connect("first")
        writer.close()

    async def test_unchanged_files_are_not_loaded_again(self):
        self.assertFalse(self.listener.reload_if_changed())
        self.assertEqual(self.listener.reloads, 0)

    async def test_missing_file_or_incomplete_settings_are_settings_errors(self):
        for wrong in (
            TlsSettings("/nonexistent", "/nonexistent"),
            TlsSettings(self.settings.certificate, ""),
            TlsSettings(),
        ):
            with self.assertRaises(SettingsError):
                listener_certificates(wrong)


class SkipSystemCertificatesTest(unittest.TestCase):
    """Guards against a slow start that loads system certificates without use."""

    def test_context_has_no_certificates_and_environment_is_restored(self):
        before = {name: os.environ.get(name) for name in SYSTEM_CERTIFICATE_VARIABLES}
        with skip_system_certificates():
            context = ssl.create_default_context()
        self.assertEqual(context.get_ca_certs(), [])
        after = {name: os.environ.get(name) for name in SYSTEM_CERTIFICATE_VARIABLES}
        self.assertEqual(after, before)
