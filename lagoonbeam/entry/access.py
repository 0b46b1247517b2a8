"""Who may call: a token for each organisation, and for operators."""

from __future__ import annotations

import hmac
from collections.abc import Iterable

from lagoonbeam.core.settings import AccessToken, resolve_token_secret
from lagoonbeam.errors import ForbiddenError, UnauthorizedError

_SCHEME = "bearer "


class Access:
    """Finds the token of a request.

    Args:
        tokens: All tokens.

    Raises:
        SettingsError: If the secret of one is missing.
    """

    def __init__(self, tokens: Iterable[AccessToken]):
        self._secrets = [
            (resolve_token_secret(token).encode(), token) for token in tokens
        ]

    def identify(self, authorization: str) -> AccessToken:
        """Returns the token that a header names.

        All secrets are compared, each in constant time.

        Raises:
            UnauthorizedError: If there is none.
        """
        given = b""
        if authorization.lower().startswith(_SCHEME):
            given = authorization[len(_SCHEME) :].strip().encode()
        found = [
            token
            for secret, token in self._secrets
            if hmac.compare_digest(secret, given)
        ]
        if not found:
            raise UnauthorizedError(
                "got no or an unknown token, expected 'Authorization: Bearer"
                " TOKEN'"
            )
        return found[0]


def require_operator(token: AccessToken) -> None:
    """Checks that a token is an operator's.

    Raises:
        ForbiddenError: If it is not.
    """
    if token.role != "operator":
        raise ForbiddenError("got a caller's token, expected an operator's")


def require_organisation(token: AccessToken) -> str:
    """Returns the organisation of a caller's token.

    Raises:
        ForbiddenError: If it is an operator's.
    """
    if token.role != "caller":
        raise ForbiddenError("got an operator's token, expected a caller's")
    return token.organisation
