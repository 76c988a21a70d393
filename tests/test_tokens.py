from __future__ import annotations

import unittest

from geraniumbend.errors import SettingsError
from geraniumbend.tokens import hash_token, verify_token

TOKEN = "0123456789abcdef-token"


class TokensTest(unittest.TestCase):
    def test_only_the_hashed_token_is_accepted(self):
        hashed = hash_token(TOKEN)
        self.assertTrue(verify_token(TOKEN, hashed))
        self.assertFalse(verify_token(TOKEN + "x", hashed))
        self.assertFalse(verify_token("", hashed))

    def test_equal_tokens_get_different_hashes(self):
        self.assertNotEqual(hash_token(TOKEN), hash_token(TOKEN))

    def test_short_token_is_refused(self):
        with self.assertRaises(SettingsError):
            hash_token("short")

    def test_malformed_hash_is_a_settings_error_and_not_a_mismatch(self):
        good = hash_token(TOKEN)
        # A cost of 2**30 would let a settings file exhaust the memory.
        for bad in ("", "plain", good[:-10], good.replace("$14$", "$30$", 1)):
            with self.subTest(bad=bad), self.assertRaises(SettingsError):
                verify_token(TOKEN, bad)
