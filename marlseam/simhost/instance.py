"""One simulated node: the wire's events become the reducer's, and its effects the wire's actions."""

from base64 import b64encode
from collections.abc import Callable, Mapping
from typing import Any

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.core import Effect, EndpointEntry, Event, Reducer
from marlseam.decisions.types import LoadReport, Request
from marlseam.simhost import wire
from marlseam.simhost.wire import Fields, MalformedLineError

STARTED, PROGRESSED = "1", "2"  # kinds of the wire's event `change`


class Instance:
    """Carries events into one node's reducer and writes out the actions that it asks for.

    Attributes:
        name: of the node.
        clock: ms of the event in hand, as the batch tells it.
        out: lines for the simulator, to which actions are added.
        deployment: the settings that the node was given.
        core: its reducer.
    """

    def __init__(self, name: str, seed: int, options: dict[str, Any], clock: float, out: list[str]) -> None:
        self.name, self.clock, self.out = name, clock, out
        self.deployment = deployment_from(options, "options")
        self.reducer = Reducer()
        self.reduce(core.NodeStarted(self.deployment.settings, seed))

    def reduce(self, event: Event) -> None:
        """Play one event."""
        for effect in self.reducer.reduce(self.clock, event):
            write = ACTIONS.get(type(effect))
            line = write(self.name, effect) if write is not None else ""
            if line:
                self.out.append(line)

    def on(self, name: str, values: Fields, entries: list[Fields]) -> None:
        """Turn one event of the wire into the reducer's, and play it."""
        if name == "directory_update":
            event: Event | None = self.list_updated(values, entries)
        elif name in EVENTS:
            event = EVENTS[name](self, values)
        else:
            event = self.attempt_event(name, values)
        if event is not None:
            self.reduce(event)

    def timer_fired(self, values: Fields) -> Event:
        """Read that a timer is due."""
        return core.TimerFired(wire.whole(values, "mark"))

    def request_arrived(self, values: Fields) -> Event:
        """Read that a client has sent a request."""
        return core.RequestArrived(self.request(values))

    def list_updated(self, values: Fields, entries: list[Fields]) -> Event:
        """Read an update of the endpoint list."""
        kind = wire.word(wire.LISTINGS, values, "scope")
        return core.EndpointListUpdate(kind, [self.entry(entry) for entry in entries])

    def probe_ended(self, values: Fields) -> Event:
        """Read the end of a probe."""
        outcome = wire.word(wire.OUTCOMES, values, "verdict")
        lag_ms = wire.number(values, "lagUs", 0.0) / 1000.0
        return core.ProbeEnded(wire.need(values, "executor"), outcome, lag_ms, self.report(values))

    def client_left(self, values: Fields) -> Event:
        """Read that a client has gone."""
        return core.ClientLeft(wire.need(values, "opId"))

    def gossip_received(self, values: Fields) -> Event:
        """Read another node's message."""
        return core.GossipReceived(wire.whole(values, "neighbour"), wire.message(values))

    def attempt_event(self, name: str, values: Fields) -> Event | None:
        """Read what happened to an attempt; None for what the reducer need not know."""
        request_id, attempt_index = wire.need(values, "opId"), wire.whole(values, "attempt")
        if name == "settled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            is_final = values["finished"] == "1"
            return core.AttemptEnded(request_id, attempt_index, outcome, is_final, self.report(values))
        if name == "accepted":
            return core.ResponseStreaming(request_id, attempt_index)
        if wire.need(values, "kind") == STARTED:
            return core.AttemptStarted(request_id, attempt_index)
        if values["kind"] == PROGRESSED:
            return core.AttemptProgressed(request_id, attempt_index, wire.number(values, "x", 0.0))
        return None

    def report(self, values: Fields) -> LoadReport | None:
        """Read the load report that came along."""
        return wire.report(self.deployment.report_names, values["pressure"])

    def request(self, values: Fields) -> Request:
        """Read a request."""
        name = wire.need(values, "qos")
        if name not in self.deployment.types:
            raise MalformedLineError(f"qos cannot be {name!r}")
        class_index = self.deployment.types[name]
        deadline_ms = self.deployment.settings.request_classes[class_index].deadline_ms
        return Request(
            request_id=wire.need(values, "opId"),
            class_index=class_index,
            deadline_at_ms=wire.milliseconds(values, "expiresUs") or self.clock + deadline_ms,
            slots=wire.number(values, "needs", 1.0) or 1.0,
            run_hint_ms=wire.milliseconds(values, "workHintUs"),
            resource_key=values["pathKey"],
        )

    def entry(self, values: Fields) -> EndpointEntry:
        """Read one entry of a list."""
        return EndpointEntry(
            server=wire.need(values, "executor"),
            state=wire.word(wire.STATES, values, "availability"),
            kind=index_of(self.deployment.kinds, values["familyType"]),
            zone=index_of(self.deployment.zones, values["dc"]),
            cell=int(wire.number(values, "cohort", -1)),
            process_started_ms=wire.milliseconds(values, "bornUs"),
            weight=wire.number(values, "weight", 0.0) or None,
        )


def index_of(indices: Mapping[str, int], name: str | None) -> int:
    """Return the index of a name, -1 where it is absent or not known."""
    return -1 if name is None else indices.get(name, -1)


EVENTS: dict[str, Callable[[Instance, Fields], Event]] = {
    "due": Instance.timer_fired,
    "arrival": Instance.request_arrived,
    "sampled": Instance.probe_ended,
    "left": Instance.client_left,
    "mail": Instance.gossip_received,
}


def microseconds(milliseconds: float) -> int:
    """Return milliseconds as the wire's whole microseconds."""
    return int(milliseconds * 1000.0)


def forward(name: str, effect: core.SendAttempt) -> str:
    """Write that an attempt is sent; a time left below 1 would mean another thing."""
    left_us = max(1, microseconds(effect.time_left_ms))
    return f"forward {name} {effect.request_id} {effect.server} {left_us}"


def cancel(name: str, effect: core.CancelAttempt) -> str:
    """Write that an attempt is given up; the wire knows none that has not begun."""
    return f"stop_attempt {name} {effect.request_id} {effect.attempt_index}" if effect.even_if_sent else ""


def reject(name: str, effect: core.Reject) -> str:
    """Write that a request is rejected, and when a retry may come."""
    return f"bounce {name} {effect.request_id} {microseconds(effect.retry_after_ms)}"


def set_timer(name: str, effect: core.SetTimer) -> str:
    """Write that a timer is wanted."""
    return f"wake_me {name} {effect.timer_id} {max(0, microseconds(effect.delay_ms))}"


# `Respond` has no action: the simulator passes results on by itself.
ACTIONS: dict[type[Effect], Callable[[str, Any], str]] = {
    core.SendAttempt: forward,
    core.CancelAttempt: cancel,
    core.Reject: reject,
    core.Fail: lambda name, effect: f"finish_error {name} {effect.request_id}",
    core.Probe: lambda name, effect: f"inspect {name} {effect.server}",
    core.SetTimer: set_timer,
    core.WatchEndpoints: lambda name, _: f"watch {name} 1",
    core.Gossip: lambda name, effect: f"notify {name} all {b64encode(effect.message).decode()}",
    core.Log: lambda name, effect: f"print {name} {effect.text}",
}
