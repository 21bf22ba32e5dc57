"""A second opinion: what other settings would have decided where the node has just decided. Pure of I/O.

The second decider has figures and a chance sequence of its own. It is told all that the first is told, and
what the first has sent; it neither sends nor probes nor sets a timer, and the first never asks it. It sees no
consequences of decisions that were not taken: its figures grow from the node's own course.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from zlib import crc32

from marlseam import core
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Attempt, Decision, Endpoint, ListUpdateKind, Request, Settings

OWN_SEED = 0x5EED  # sets its chance apart from the node's
WORDS = {core.SendAttempt: Decision.HOME, core.Reject: Decision.REJECTED, core.Fail: Decision.FAILED}


class Mute:
    """A port through which nothing happens."""

    def __init__(self) -> None:
        self.clock = 0.0

    def now(self) -> float:
        """Return the time of the event in hand."""
        return self.clock

    def nothing(self, *_: object) -> None:
        """Do nothing."""

    send = cancel = defer = abort = probe = after = never_ran = subscribe = tell = log = nothing


class Shadow(RequestState):
    """A request as the second decider knows it: it takes note, and seeks nothing of its own accord."""

    def retry(self) -> None:
        """Leave it to the first decider what follows."""


class Watch:
    """Follows a reducer and counts, by kind, where other settings would have decided otherwise."""

    def __init__(self, change: Callable[[Settings], Settings]) -> None:
        self.change, self.port = change, Mute()
        self.node: Dispatcher | None = None
        self.open: dict[str, Shadow] = {}
        self.decided, self.swept_ms = 0, 0.0
        self.otherwise: Counter[tuple[Decision, Decision]] = Counter()

    def see(self, followed: core.Reducer, event: core.Event, effects: Iterable[core.Effect]) -> None:
        """Take in an event and what the node did upon it."""
        self.port.clock = followed.clock
        if type(event) is core.NodeStarted:
            self.node = Dispatcher(
                self.change(event.settings), crc32(b"%d" % (event.seed ^ OWN_SEED)), self.port
            )
        elif type(event) is core.SettingsChanged:
            self.node.configure(self.change(event.settings))
        elif type(event) is core.RequestArrived:
            self.arrival(followed, event.request, effects)
        elif type(event) in TOLD:
            TOLD[type(event)](self, followed, event)
        for effect in effects:
            shadow = self.open.get(getattr(effect, "request_id", ""))
            if shadow is not None:
                if type(effect) in WORDS and type(event) is not core.RequestArrived:
                    self.count(self.later(followed, effect), self.opinion(followed, shadow, effect))
                self.follow(followed, shadow, effect)

    def count(self, decided: Decision, other: Decision) -> None:
        """Count a decision beside the second opinion."""
        self.decided += 1
        if decided is not other:
            self.otherwise[decided, other] += 1

    def lines(self) -> list[str]:
        """Return the counts, the most frequent first, in a line each."""
        head = f"watch: {self.decided} decisions, {self.otherwise.total()} otherwise by the settings watched"
        rows = sorted(self.otherwise.items(), key=lambda row: (-row[1], row[0][0].value, row[0][1].value))
        return [head, *(f"watch: {n} times {a.value} where it would be {b.value}" for (a, b), n in rows)]

    # A decision and its second opinion.

    def arrival(self, followed: core.Reducer, request: Request, effects: Iterable[core.Effect]) -> None:
        """Compare what is first decided of a request."""
        state = followed.open.get(request.request_id)
        self.node.count_arrival(request)
        shadow = self.open[request.request_id] = Shadow(
            self.node, state.request if state is not None else request
        )
        mine = [effect for effect in effects if getattr(effect, "request_id", None) == request.request_id]
        words = [WORDS[type(effect)] for effect in mine if type(effect) in WORDS]
        if words:
            decided = words[0]
        elif state is not None and state.probed_servers:
            decided = (
                Decision.PROBE_HOME if state.probed_servers == [state.home_server] else Decision.PROBE_OTHERS
            )
        else:
            decided = Decision.QUEUED
        other = shadow.choose_initial_placement()[0] if shadow.may_attempt() else self.end(shadow)
        self.count(decided, other)

    def later(self, followed: core.Reducer, effect: core.Effect) -> Decision:
        """Return what was decided of a request after its arrival."""
        word, state = WORDS[type(effect)], followed.open.get(effect.request_id)
        if word is not Decision.HOME or state is None or state.probed_servers in ([], [state.home_server]):
            return word
        to = state.attempts[effect.attempt_index].server
        return Decision.KEPT_AT_HOME if to == state.home_server else Decision.FORWARDED

    def opinion(self, followed: core.Reducer, shadow: Shadow, effect: core.Effect) -> Decision:
        """Return what the second decider would do with a request of which the node has decided just now."""
        state = followed.open.get(effect.request_id)
        if type(effect) is not core.SendAttempt or state is None:
            waits = shadow.may_attempt() and shadow.time_to_spare_ms(min(self.node.kind_pace)) >= 0.0
            return Decision.QUEUED if waits else self.end(shadow)
        shadow.home_server, shadow.has_waited, shadow.probe_round_ms = (
            state.home_server,
            state.has_waited,
            state.probe_round_ms,
        )
        if state.probed_servers in ([], [state.home_server]):
            fine = shadow.decide_at_home(state.home_server)
            return Decision.QUEUED if fine is Decision.PROBE_OTHERS and state.has_waited else fine
        return shadow.pick_probed_server(state.probed_servers)[0]

    def end(self, shadow: Shadow) -> Decision:
        """Return the final answer that the second decider would give."""
        return Decision.REJECTED if shadow.may_reject_safely() else Decision.FAILED

    # What the second decider is told.

    def follow(self, followed: core.Reducer, shadow: Shadow, effect: core.Effect) -> None:
        """Note what the node has sent or answered."""
        if type(effect) is core.SendAttempt:
            server, now = followed.index[effect.server], self.port.clock
            shadow.attempts.append(
                Attempt(server, now, now, expected_wait_ms=self.node.expected_wait_ms(server, shadow.request))
            )
            self.node.track_attempt(server, shadow, len(shadow.attempts) - 1, shadow.request.slots)
        elif type(effect) in (core.Respond, core.Reject, core.Fail):
            shadow.is_answered = True
            self.forget(effect.request_id)

    def update_endpoints(self, followed: core.Reducer, event: core.EndpointListUpdate) -> None:
        """Tell it of discovery's news, under the same indices."""
        if event.update_kind is ListUpdateKind.FAILED:
            return
        for server in followed.spare:  # an index that is free again stands for another server later
            if server < len(self.node.endpoint_state):
                self.node.reset(server)
        members = [
            Endpoint(followed.index[server.server], *server[1:], crc32(server.server.encode()))
            for server in event.entries
            if server.server in followed.index
        ]
        self.node.update_endpoints(event.update_kind, members, event.doubt)

    def probed(self, followed: core.Reducer, event: core.ProbeEnded) -> None:
        """Tell it of a probe's end."""
        self.node.probe_ended(followed.index[event.server], event.outcome, event.lag_ms, event.report)

    def told(self, followed: core.Reducer, event: core.GossipReceived) -> None:
        """Tell it of another node's message."""
        self.node.merge_gossip(event.peer, followed.clock, event.message)

    def due(self, followed: core.Reducer, event: core.TimerFired) -> None:
        """Let it look at what stands, as often as the node does."""
        if followed.clock - self.swept_ms >= self.node.check_interval_ms:
            self.swept_ms = followed.clock
            self.node.periodic_check()

    def settled(self, followed: core.Reducer, event: core.AttemptEnded) -> None:
        """Tell it of an attempt's end."""
        shadow = self.open.get(event.request_id)
        if shadow is not None:
            shadow.attempt_ended(event.attempt_index, event.outcome, event.final, event.report)
            self.forget(event.request_id)

    def sign(
        self,
        followed: core.Reducer,
        event: core.AttemptStarted | core.AttemptProgressed | core.ResponseStreaming,
    ) -> None:
        """Tell it of a sign of life."""
        shadow = self.open.get(event.request_id)
        if shadow is not None and type(event) is core.AttemptProgressed:
            shadow.progress(event.attempt_index, event.share)
        elif shadow is not None:
            shadow.started(event.attempt_index)

    def left(self, followed: core.Reducer, event: core.ClientLeft) -> None:
        """Tell it of a client that has gone."""
        shadow = self.open.get(event.request_id)
        if shadow is not None:
            shadow.is_answered = True
            self.forget(event.request_id)

    def forget(self, request_id: str) -> None:
        """Drop a request that has its answer and nothing out."""
        shadow = self.open[request_id]
        if shadow.is_answered and not shadow.in_flight_count():
            del self.open[request_id]


TOLD = {
    core.EndpointListUpdate: Watch.update_endpoints,
    core.ProbeEnded: Watch.probed,
    core.GossipReceived: Watch.told,
    core.TimerFired: Watch.due,
    core.AttemptEnded: Watch.settled,
    core.AttemptStarted: Watch.sign,
    core.AttemptProgressed: Watch.sign,
    core.ResponseStreaming: Watch.sign,
    core.ClientLeft: Watch.left,
}
