"""Two exclusive edits of one key, one at each process of an upgrade."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2 import rig

RUN_S, TIME_LEFT_S = 1.5, 5.0
SETTINGS = rig.settings(
    [rig.request_class("cue-edit", 500, 5000, "unsafe", oneAtATime=True)],
    ceilings={"secondCopies": True},
    guarantees={"turnGapUs": 50000, "drainBindsAlone": True, "stopSendingWithinUs": 2000000},
)


async def case(site: rig.Rig) -> list[str]:
    """Send an edit to the old process, upgrade, and send the key's next edit; return what broke the rule."""
    executors = [rig.Executor(site.record, f"s-{index}") for index in range(3)]
    for executor in executors:
        executor.job = lambda attempt: rig.Job(RUN_S if attempt.id.startswith("edit") else 0.1)
    site.share_listener()
    await site.begin(executors)
    old = await site.start_node()
    first_client = rig.Client(site.record, site.port, "first client")
    for number in range(
        12
    ):  # the node learns how long edits run; the client's connection is the old process's
        await first_client.send(f"warm-{number}", f"/cue-edit?user=film-{number}", TIME_LEFT_S)
    if rig.trouble():
        await site.start_node()
    first = asyncio.ensure_future(first_client.send("edit-1", "/cue-edit?user=film-x", TIME_LEFT_S))
    await asyncio.sleep(0.1)
    if rig.trouble():
        old.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
    second_client = rig.Client(site.record, site.port, "second client")
    await second_client.send("edit-2", "/cue-edit?user=film-x", TIME_LEFT_S)
    await first
    runs = {attempt.id: attempt for executor in executors for attempt in executor.attempts}
    if "edit-1" not in runs:
        raise rig.UnfitError("the first edit was not sent")
    one, two = runs["edit-1"], runs.get("edit-2")
    if two is not None and one.ended is not None and two.arrived < one.ended:
        return [f"edit-2 was sent {one.ended - two.arrived:.2f} s before edit-1 of the same key was over"]
    return []


if __name__ == "__main__":
    rig.main(__file__, SETTINGS, case)
