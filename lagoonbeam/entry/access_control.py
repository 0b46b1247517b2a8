"""Who may call: a token for each organisation, and for operators."""

from __future__ import annotations

import hmac
from collections.abc import Iterable

from lagoonbeam.core.settings import Token, get_secret
from lagoonbeam.errors import ForbiddenError, UnauthorizedError

_BEARER_PREFIX = "bearer "


class Authenticator:
    """Finds the token of a request.

    Args:
        tokens: All tokens.

    Raises:
        SettingsError: If the secret of one is missing.
    """

    def __init__(self, tokens: Iterable[Token]):
        self._secrets_and_tokens = [
            (get_secret(token).encode(), token) for token in tokens
        ]

    def authenticate(self, authorization: str) -> Token:
        """Returns the token that a header names.

        All secrets are compared, each in constant time.

        Raises:
            UnauthorizedError: If there is none.
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
                "got no or an unknown token, expected 'Authorization: Bearer"
                " TOKEN'"
            )
        return matching_tokens[0]


def require_operator(token: Token) -> None:
    """Checks that a token is an operator's.

    Raises:
        ForbiddenError: If it is not.
    """
    if token.role != "operator":
        raise ForbiddenError("got a caller's token, expected an operator's")


def require_organisation(token: Token) -> str:
    """Returns the organisation of a caller's token.

    Raises:
        ForbiddenError: If it is an operator's.
    """
    if token.role != "caller":
        raise ForbiddenError("got an operator's token, expected a caller's")
    return token.organisation
