from __future__ import annotations

import ssl

from burdockgap.tls.verification import verification


def test_plain_http_needs_no_certificates():
    assert verification("http://127.0.0.1:1") is False


def test_https_verifies_servers():
    context = verification("HTTPS://log.example")
    assert context.verify_mode is ssl.CERT_REQUIRED
    assert context.check_hostname
    assert context.get_ca_certs()
