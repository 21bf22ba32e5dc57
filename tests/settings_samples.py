"""Samples of dispatcher settings, and of deployments and node configurations as in files."""

from dataclasses import replace

from marlseam.decisions.types import DeduplicationScope, Idempotency, RequestClass, Settings

SAFE = RequestClass(200.0, 2.0, 5000.0, Idempotency.SAFE, DeduplicationScope.ALL, 5000.0, -1)
KEYED = replace(
    SAFE,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=3000.0,
)
UNSAFE = replace(SAFE, idempotency=Idempotency.UNSAFE)
SETTINGS = Settings(
    request_classes=(SAFE, KEYED, UNSAFE),
    kind_count=1,
    zone=0,
    node_count=2,
    tick_ms=4.0,
    max_attempts=4,
    may_probe=True,
    may_cancel=True,
    may_hedge=False,
    max_retry_after_ms=2000.0,
    subscribes_to_endpoints=True,
    list_max_age_ms=10000.0,
    reports_start=True,
    progress_period_ms=1000.0,
    slow_start_initial_share=0.3,
    slow_start_ms=8000.0,
    overload_multiple=3.0,
    overload_window_ms=1000.0,
    cross_zone_cost=0.02,
)
OPTIONS = {
    "zone": "here",
    "dcs": ["here", "there"],
    "kinds": ["plain"],
    "tickUs": 4000,
    "registryMode": "subscribe",
    "requestClasses": [
        {"name": "statement", "aimUs": 200000, "deadlineUs": 5000000, "semantics": "safe"},
        {"name": "posting", "aimUs": 200000, "deadlineUs": 5000000, "semantics": "unsafe"},
    ],
    "ceilings": {"sendCap": 4, "mayProbe": True, "cancel": True, "keepaliveUs": 1000000},
    "familyInfo": {"tellsStart": True, "reportX0": "free slots"},
}
PAYMENTS = OPTIONS | {
    "requestClasses": [
        *OPTIONS["requestClasses"],
        {
            "name": "payment",
            "aimUs": 200000,
            "deadlineUs": 5000000,
            "semantics": "keyed",
            "dedupScope": "cell",
            "memorySpanUs": 30000000,
        },
    ],
    "clients": {"marksRetry": True},
}
ENDPOINT = {
    "host": "e1",
    "dial": "127.0.0.1:1",
    "health": "active",
    "site": "here",
    "class": "plain",
    "block": 0,
}
NODE_CONFIG = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": OPTIONS,
    "known": {"seq": 1, "whole": True, "hosts": [ENDPOINT]},
}
