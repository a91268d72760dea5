"""Authentication of client accounts."""

from __future__ import annotations

import hashlib
from typing import Final

import falcon

from hornbeamline.caller_api._problems import ProblemError
from hornbeamline.inventory import Account, Fleet

_SCHEME: Final = 'bearer'


class Accounts:
    """Index of client accounts by the digest of their credential.

    The time of a look-up does not depend on the number of accounts. It
    depends on the digest only, which reveals nothing about a credential.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._fleet: Fleet | None = None
        self._accounts_by_digest: dict[str, tuple[str, Account]] = {}

    def authenticate(
        self,
        fleet: Fleet | None,
        authorization: str | None,
    ) -> tuple[str, Account]:
        """Return the name and account of a bearer credential.

        Raises `ProblemError` when the credential is unknown or there is no
        configuration yet.
        """
        if fleet is None:
            # No credential is known before the first configuration.
            raise ProblemError(falcon.HTTP_503, 'no_lease')
        if fleet is not self._fleet:
            self._fleet = fleet
            self._accounts_by_digest = {
                account.credential_sha256: (name, account)
                for name, account in fleet.accounts_by_name.items()
            }
        scheme, _, credential = (authorization or '').partition(' ')
        digest = hashlib.sha256(credential.encode()).hexdigest()
        found = self._accounts_by_digest.get(digest)
        if found is None or scheme.lower() != _SCHEME:
            raise ProblemError(falcon.HTTP_401, 'unknown_credential')
        return found
