"""Errors of the node's network code."""

from marlseam.net.log import Reason


class NetError(Exception):
    """Base class of the errors of this package."""


class ConnectionEndedError(NetError):
    """A connection cannot go on.

    Attributes:
        reason: the reason code for the connection's line in the log.
        status: the HTTP status of the answer to the peer; 0 for no answer.
        allow: the method in the answer's Allow header; "" for no header.

    """

    def __init__(self, reason: Reason, status: int = 0, text: str = "", allow: str = "") -> None:
        super().__init__(text or reason.value)
        self.reason, self.status, self.allow = reason, status, allow


class MalformedMessageError(NetError):
    """A received message violates the protocol.

    Attributes:
        status: the HTTP status of the answer to a client.
        allow: the method in the answer's Allow header; "" for no header.

    """

    def __init__(self, text: str, status: int = 400, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.allow = status, allow
