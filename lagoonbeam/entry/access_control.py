"""Authentication and authorization of requests by bearer tokens."""

from __future__ import annotations

import hmac
from collections.abc import Iterable

from lagoonbeam.core.settings import AccessToken, resolve_token_secret
from lagoonbeam.errors import ForbiddenError, UnauthorizedError

_BEARER_PREFIX = "bearer "


class Authenticator:
    """Finds the token that a request presents.

    Args:
        tokens: All valid tokens.

    Raises:
        SettingsError: If the secret of a token is missing.
    """

    def __init__(self, tokens: Iterable[AccessToken]):
        self._secrets_and_tokens = [
            (resolve_token_secret(token).encode(), token) for token in tokens
        ]

    def authenticate(self, authorization: str) -> AccessToken:
        """Returns the token whose secret an Authorization header presents.

        The header is compared with all secrets, each in constant time, so
        that the response time tells nothing about a secret.

        Args:
            authorization: Value of the header; empty if there is none.

        Raises:
            UnauthorizedError: If no token has the secret.
        """
        presented_secret = b""
        if authorization.lower().startswith(_BEARER_PREFIX):
            presented_secret = (
                authorization[len(_BEARER_PREFIX) :].strip().encode()
            )
        matching_tokens = [
            token
            for secret, token in self._secrets_and_tokens
            if hmac.compare_digest(secret, presented_secret)
        ]
        if not matching_tokens:
            raise UnauthorizedError(
                "got a missing or unknown token, expected 'Authorization:"
                " Bearer TOKEN'"
            )
        return matching_tokens[0]


def require_operator(token: AccessToken) -> None:
    """Checks that a token is an operator's.

    Raises:
        ForbiddenError: If it is a caller's token.
    """
    if token.role != "operator":
        raise ForbiddenError("got a caller's token, expected an operator's")


def require_organisation(token: AccessToken) -> str:
    """Returns the organisation of a caller's token.

    Raises:
        ForbiddenError: If it is an operator's token.
    """
    if token.role != "caller":
        raise ForbiddenError("got an operator's token, expected a caller's")
    return token.organisation
