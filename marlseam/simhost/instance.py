"""One simulated node: translates the wire's events for its reducer, and the effects to the wire's actions."""

from base64 import b64encode
from collections.abc import Callable, Mapping
from typing import Any

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.core import Effect, EndpointEntry, Event, Reducer
from marlseam.decisions.types import LoadReport, Request
from marlseam.simhost import wire
from marlseam.simhost.wire import Fields, MalformedLineError

STARTED, PROGRESSED = "1", "2"  # values of `kind` in the wire's event `change`


class Instance:
    """Passes events to one node's reducer and writes the actions for its effects.

    Attributes:
        name: name of the node.
        now_ms: time of the event being processed in ms, from the batch's head line.
        out: output lines for the simulator, to which actions are appended.
        deployment: the deployment's settings that the node was given.
        reducer: the node's reducer.
    """

    def __init__(self, name: str, seed: int, options: dict[str, Any], now_ms: float, out: list[str]) -> None:
        self.name, self.now_ms, self.out = name, now_ms, out
        self.deployment = deployment_from(options, "options")
        self.reducer = Reducer()
        self.reduce(core.NodeStarted(self.deployment.settings, seed))

    def reduce(self, event: Event) -> None:
        """Process one event and append the actions for its effects."""
        for effect in self.reducer.reduce(self.now_ms, event):
            write = ACTIONS.get(type(effect))
            line = write(self.name, effect) if write is not None else ""
            if line:
                self.out.append(line)

    def handle_event(self, name: str, values: Fields, entries: list[Fields]) -> None:
        """Translate one event of the wire, with its list entries, and process it."""
        if name == "directory_update":
            event: Event | None = self.list_updated(values, entries)
        elif name in EVENTS:
            event = EVENTS[name](self, values)
        else:
            event = self.attempt_event(name, values)
        if event is not None:
            self.reduce(event)

    def timer_fired(self, values: Fields) -> Event:
        """Parse the event that a timer is due."""
        return core.TimerFired(wire.integer(values, "mark"))

    def request_arrived(self, values: Fields) -> Event:
        """Parse the event that a client sent a request."""
        return core.RequestArrived(self.request(values))

    def list_updated(self, values: Fields, entries: list[Fields]) -> Event:
        """Parse an update of the endpoint list."""
        kind = wire.choice(wire.UPDATE_KINDS, values, "scope")
        return core.EndpointListUpdate(kind, [self.entry(entry) for entry in entries])

    def probe_ended(self, values: Fields) -> Event:
        """Parse the end of a probe."""
        outcome = wire.choice(wire.OUTCOMES, values, "verdict")
        lag_ms = wire.number(values, "lagUs", 0.0) / 1000.0
        return core.ProbeEnded(wire.required(values, "executor"), outcome, lag_ms, self.report(values))

    def client_left(self, values: Fields) -> Event:
        """Parse the event that a client disconnected."""
        return core.ClientLeft(wire.required(values, "opId"))

    def gossip_received(self, values: Fields) -> Event:
        """Parse a message of another node."""
        return core.GossipReceived(wire.integer(values, "neighbour"), wire.decode_message(values))

    def attempt_event(self, name: str, values: Fields) -> Event | None:
        """Parse an event of an attempt; None for an event that the reducer does not handle."""
        request_id, attempt_index = wire.required(values, "opId"), wire.integer(values, "attempt")
        if name == "settled":
            outcome = wire.choice(wire.OUTCOMES, values, "verdict")
            is_final = values["finished"] == "1"
            return core.AttemptEnded(request_id, attempt_index, outcome, is_final, self.report(values))
        if name == "accepted":
            return core.ResponseStreaming(request_id, attempt_index)
        if wire.required(values, "kind") == STARTED:
            return core.AttemptStarted(request_id, attempt_index)
        if values["kind"] == PROGRESSED:
            return core.AttemptProgressed(request_id, attempt_index, wire.number(values, "x", 0.0))
        return None

    def report(self, values: Fields) -> LoadReport | None:
        """Parse the load report of an event; None where there is none."""
        return wire.load_report(self.deployment.report_names, values["pressure"])

    def request(self, values: Fields) -> Request:
        """Parse a request; raises MalformedLineError for an unknown request class."""
        name = wire.required(values, "qos")
        if name not in self.deployment.types:
            raise MalformedLineError(f"field qos: unknown request class {name!r}")
        class_index = self.deployment.types[name]
        deadline_ms = self.deployment.settings.request_classes[class_index].deadline_ms
        return Request(
            request_id=wire.required(values, "opId"),
            class_index=class_index,
            deadline_at_ms=wire.milliseconds(values, "expiresUs") or self.now_ms + deadline_ms,
            slots=wire.number(values, "needs", 1.0) or 1.0,
            run_hint_ms=wire.milliseconds(values, "workHintUs"),
            resource_key=values["pathKey"],
        )

    def entry(self, values: Fields) -> EndpointEntry:
        """Parse one entry of an endpoint list."""
        return EndpointEntry(
            server=wire.required(values, "executor"),
            state=wire.choice(wire.ENDPOINT_STATES, values, "availability"),
            kind=index_of(self.deployment.kinds, values["familyType"]),
            zone=index_of(self.deployment.zones, values["dc"]),
            cell=int(wire.number(values, "cohort", -1)),
            process_started_ms=wire.milliseconds(values, "bornUs"),
            weight=wire.number(values, "weight", 0.0) or None,
        )


def index_of(indices: Mapping[str, int], name: str | None) -> int:
    """Return the index of a name, -1 if the name is absent or unknown."""
    return -1 if name is None else indices.get(name, -1)


EVENTS: dict[str, Callable[[Instance, Fields], Event]] = {
    "due": Instance.timer_fired,
    "arrival": Instance.request_arrived,
    "sampled": Instance.probe_ended,
    "left": Instance.client_left,
    "mail": Instance.gossip_received,
}


def microseconds(milliseconds: float) -> int:
    """Convert milliseconds to the wire's whole microseconds."""
    return int(milliseconds * 1000.0)


def forward(name: str, effect: core.SendAttempt) -> str:
    """Return the action that sends an attempt; a time left below 1 has another meaning on the wire."""
    left_us = max(1, microseconds(effect.time_left_ms))
    return f"forward {name} {effect.request_id} {effect.server} {left_us}"


def cancel(name: str, effect: core.CancelAttempt) -> str:
    """Return the action that cancels an attempt; empty for one not sent, which the wire cannot cancel."""
    return f"stop_attempt {name} {effect.request_id} {effect.attempt_index}" if effect.even_if_sent else ""


def reject(name: str, effect: core.Reject) -> str:
    """Return the action that rejects a request, with the delay before a retry in microseconds."""
    return f"bounce {name} {effect.request_id} {microseconds(effect.retry_after_ms)}"


def set_timer(name: str, effect: core.SetTimer) -> str:
    """Return the action that sets a timer, with its delay in microseconds."""
    return f"wake_me {name} {effect.timer_id} {max(0, microseconds(effect.delay_ms))}"


# `Respond` has no action: the simulator returns results to clients by itself.
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
