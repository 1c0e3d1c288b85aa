"""CURVE key pairs and the allow list of client keys."""

from dataclasses import dataclass

import zmq
import zmq.utils.z85


@dataclass(slots=True)
class CurveKeys:
    """CURVE key pair of one process, Z85 encoded (40 characters each)."""

    public: bytes
    secret: bytes

    @classmethod
    def generate(cls) -> "CurveKeys":
        """Generate a new key pair."""
        public, secret = zmq.curve_keypair()
        return cls(public, secret)


class KeyAllowList:
    """Credentials provider for the authenticator; the set may be replaced at run time.

    :param keys: Z85 public keys that may connect.
    """

    def __init__(self, keys: set[bytes]):
        self.keys = keys
        self.rejected = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client key is trusted; ``key`` is Z85 encoded."""
        allowed = key in self.keys
        self.rejected += not allowed
        return allowed
