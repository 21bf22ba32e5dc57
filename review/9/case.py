"""Clients that stop in the middle of a request and stay keep usual requests unread past their time."""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2 import rig

SOCKETS, BAD_CLIENTS = 256, 150
BEGIN_S, END_S, APART_S = 2.0, 8.0, 0.05
TIME_LEFT_S, LATE_S, SLACK_S = 1.5, 0.5, 0.05
SETTINGS = rig.settings(
    [rig.request_class("credit-lookup", 200, 5000, "safe")],
    ceilings={"secondCopies": True, "sendCap": 5},
)


async def stop_midway(site: rig.Rig, number: int, until_s: float) -> None:
    """Be a bad client: a good request, then half of one; stay for the error or the close, and begin again."""
    turn = 0
    while site.record.now() < until_s:
        turn += 1
        client = rig.Client(site.record, site.port, f"bad client {number}")
        with contextlib.suppress(TimeoutError, *rig.LOST):
            await client.send(f"bad-{number}-{turn}", "/credit-lookup", 5.0)
            if client.writer is not None and client.reader is not None:
                whole = client.request_bytes(f"half-{number}-{turn}", "/credit-lookup", 5.0, body=b"x" * 100)
                client.writer.write(whole[:-50])
                await asyncio.wait_for(client.reader.read(), 6.0)
        client.close()


async def case(site: rig.Rig) -> list[str]:
    """Send usual requests beside the bad clients; return those that got no answer in time."""
    site.limits = {**site.limits, "sockets": SOCKETS}
    executors = [rig.Executor(site.record, f"s-{index}", slots=20) for index in range(5)]
    for executor in executors:
        executor.job = lambda _attempt: rig.Job(0.05)
    await site.begin(executors)
    await site.start_node()
    zero = site.record.now()
    bad = [
        asyncio.ensure_future(stop_midway(site, number, zero + END_S))
        for number in range(BAD_CLIENTS if rig.trouble() else 0)
    ]
    await asyncio.sleep(BEGIN_S)
    usual = []
    while site.record.now() < zero + END_S:
        client = rig.Client(site.record, site.port, f"client {len(usual)}")
        request = client.send_until_read(f"look-{len(usual)}", "/credit-lookup", TIME_LEFT_S)
        usual.append(asyncio.ensure_future(request))
        await asyncio.sleep(APART_S)
    answers = await asyncio.gather(*usual)
    for task in bad:
        task.cancel()
    late_s = TIME_LEFT_S + LATE_S + SLACK_S
    late = [answer for answer in answers if answer.at - answer.sent > late_s]
    if not late:
        return []
    worst_s = max(answer.at - answer.sent for answer in late)
    return [
        f"{len(late)} of {len(answers)} requests with {TIME_LEFT_S} s left had no answer after {late_s} s; "
        f"the last waited for {worst_s:.2f} s"
    ]


if __name__ == "__main__":
    rig.main(Path(sys.argv[1]), SETTINGS, case)
