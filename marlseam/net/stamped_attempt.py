"""One attempt at a request, as the ledger counts it and the server is told on what it stands."""

from collections.abc import Callable

from marlseam.net.action_ledger import Action, ActionLedger


class StampedAttempt:
    """One attempt; `interval` is the one that it lies in, 0 before it is stamped."""

    def __init__(self, actions: ActionLedger, may_send: Callable[[], bool]) -> None:
        """Make one that is not stamped; `may_send` begins a new interval where one is due."""
        self.actions, self.may_send = actions, may_send
        self.interval = 0

    def stamp_if_serving(self) -> str:
        """Return on what the attempt stands at this moment, or nothing where it must not be sent."""
        if not self.may_send() or self.actions.interval is None:
            return ""
        self.interval = self.actions.interval.interval
        return self.actions.stamp

    def record_sent(self) -> None:
        """Count that it was sent."""
        self.actions.count(Action.SENT, self.interval)
