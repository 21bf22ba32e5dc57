"""Errors of the node's network side, each with what its handler needs."""

from marlseam.net.log import Reason


class NetError(Exception):
    """Any error of this package."""


class ConnectionEndedError(NetError):
    """A connection cannot go on.

    Attributes:
        reason: why, as the connection's line in the log tells it.
        status: the HTTP status that the peer is told; 0 for nothing.
        allow: the method that the peer is told is allowed; "" for none.

    """

    def __init__(self, reason: Reason, status: int = 0, text: str = "", allow: str = "") -> None:
        super().__init__(text or reason.value)
        self.reason, self.status, self.allow = reason, status, allow


class MalformedMessageError(NetError):
    """Something came that the protocol does not allow.

    Attributes:
        status: the HTTP status that a client is told.
        allow: the method that it is told is allowed; "" for none.

    """

    def __init__(self, text: str, status: int = 400, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.allow = status, allow
