"""Identity of a request across its attempts, for evidence on crashing servers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from .catalog import host_name

# A colon does not occur in the identifiers of prompt parts, so no caller can name a
# part that equals an identity.
IDENTITY_PREFIX = "request:"
DIGEST_BYTES = 16


def request_identity(
    organisation: str | None, method: str, host: str, target: str, body: bytes
) -> str:
    """Return the identity of a request, which differs for each organisation.

    Parameters
    ----------
    organisation : str or None
        Name of the caller's organisation, None on open routes.
    method, host, target : str
        HTTP method, host with or without a port, and path with query.
    body : bytes
        Request body.
    """
    # A key makes open routes differ from an organisation with an empty name.
    key = b"open" if organisation is None else b"organisation"
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    fields = (organisation or "", method, host_name(host), target)
    for part in _encoded(fields):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    digest.update(len(body).to_bytes(8, "big"))
    digest.update(body)
    return IDENTITY_PREFIX + digest.hexdigest()


def is_identity(key: str) -> bool:
    """Whether a suspect is a whole request, as opposed to a part of a prompt."""
    return key.startswith(IDENTITY_PREFIX)


def _encoded(fields: Iterable[str]) -> Iterable[bytes]:
    # Undecodable bytes of a header are surrogates here.
    return (text.encode("utf-8", "surrogatepass") for text in fields)
