"""The stamp of an attempt: the interval that the server is sent, and under which the ledger counts it."""

from collections.abc import Callable

from marlseam.net.action_ledger import Action, ActionLedger


class StampedAttempt:
    """One attempt; `interval` is the number of the interval in which it is sent, 0 before it is stamped."""

    def __init__(self, actions: ActionLedger, may_send: Callable[[], bool]) -> None:
        """Create it without a stamp; `may_send` returns whether the node serves, and begins due intervals."""
        self.actions, self.may_send = actions, may_send
        self.interval = 0

    def stamp_if_serving(self) -> str:
        """Return the present interval's stamp, "" where the attempt must not be sent."""
        if not self.may_send() or self.actions.interval is None:
            return ""
        self.interval = self.actions.interval.interval
        return self.actions.stamp

    def record_sent(self) -> None:
        """Count the attempt as sent in its interval."""
        self.actions.count(Action.SENT, self.interval)
