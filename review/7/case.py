"""A bad client repeats the id of another client's open request while the node is upgraded."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2 import rig

RUN_S, TIME_LEFT_S = 1.5, 5.0
SETTINGS = rig.settings(
    [rig.request_class("credit-post", 500, 20000, "unsafe")],
    ceilings={"sendCap": 3},
    guarantees={"stopSendingWithinUs": 300000},
)


async def case(site: rig.Rig) -> list[str]:
    """Repeat the id of an open exclusive request at the new process; return what broke the rule."""
    executors = [rig.Executor(site.record, f"s-{index}") for index in range(3)]
    for executor in executors:
        executor.job = lambda attempt: rig.Job(RUN_S if attempt.id == "post-1" else 0.1)
    site.share_listener()
    await site.begin(executors)
    old = await site.start_node()
    client = rig.Client(site.record, site.port, "client")
    await client.send("warm", "/credit-post", TIME_LEFT_S)
    if rig.trouble():
        await site.start_node()
    open_request = asyncio.ensure_future(client.send("post-1", "/credit-post", TIME_LEFT_S))
    await asyncio.sleep(0.1)
    if rig.trouble():
        old.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
    bad_client = rig.Client(site.record, site.port, "bad client")
    served = await bad_client.send("post-1", "/credit-post", TIME_LEFT_S)
    await open_request
    runs = [
        attempt
        for executor in executors
        for attempt in executor.attempts
        if attempt.id == "post-1" and attempt.began is not None
    ]
    if not runs:
        raise rig.UnfitError("the request was not sent")
    found = [f"the exclusive request post-1 was begun {len(runs)} times"] if len(runs) > 1 else []
    if served.status == 200:
        found.append("the bad client was served")
    return found


if __name__ == "__main__":
    rig.main(Path(sys.argv[1]), SETTINGS, case)
