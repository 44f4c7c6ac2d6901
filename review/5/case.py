"""A router freezes, and a release begins: its streams can't be taken up anywhere."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab"))

import lab as lab_module  # noqa: E402

FREEZE_SECONDS = 4.0
GAP_SECONDS = 2.0  # after such a gap a client gives a stream up
STREAMS = 24
PROMPT, OUTPUT = 300, 1000


async def client(lab, first, number, breaks_at, taken_up):
    """Opens a stream at `first` and takes it up at another router once it has stalled or
    broken off; repeats that once, as the answer says."""
    answer = await lab.ask(first, "shop", PROMPT, OUTPUT, gap=GAP_SECONDS,
                           breaks_at=breaks_at)
    if answer.complete or not answer.events:
        return
    others = [each for each in lab.routers if each is not first]
    begun = (answer.attempt, answer.events[-1][0])
    for retry in range(2):
        again = await lab.ask(others[(number + retry) % len(others)], "shop", PROMPT, OUTPUT,
                              gap=GAP_SECONDS, resumes=begun)
        if again.events or not again.retry_after:
            break
        await asyncio.sleep(again.retry_after)
    taken_up.append(bool(again.events))


async def case(lab, trouble):
    lab.add_tenant("shop", 50_000_000)
    lab.write_configuration()
    for number in range(4):
        await lab.add_engine(zone=lab_module.ZONES[number], interval=0.03)
    await lab.add_routers(4)
    await lab.start_routers()
    await asyncio.sleep(3)
    frozen, others = lab.routers[0], lab.routers[1:]
    taken_up, tasks, begun = [], [], []
    # Without the freeze, the clients lose their connections about when they would give
    # the streams up otherwise.
    breaks_at = None if trouble else time.monotonic() + STREAMS * 0.04 + 0.5 + GAP_SECONDS
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(client(lab, frozen, number, breaks_at, taken_up)))
        await asyncio.sleep(0.04)
    await asyncio.sleep(0.5)
    stopped = time.monotonic()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    lab.record.line("a release begins: engines of v2 start, engines of v1 drain")
    for number in range(2):
        await lab.add_engine(zone=lab_module.ZONES[number], version="v2", interval=0.03)
        lab.engines[number].drain()
        asyncio.get_running_loop().call_later(2.6, lab.engines[number].leave)
        # New streams at the other routers, meanwhile.
        for each in range(STREAMS // 2):
            begun.append(asyncio.create_task(
                lab.ask(others[each % 3], "shop", PROMPT, OUTPUT, gap=GAP_SECONDS)))
            await asyncio.sleep(0.08)
    await asyncio.sleep(max(0, stopped + FREEZE_SECONDS - time.monotonic()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.gather(*tasks)
    new = [bool(each.events) for each in await asyncio.gather(*begun)]
    share_new = sum(new) / len(new)
    lab.record.line(f"{sum(taken_up)} of {len(taken_up)} streams taken up go on,"
                    f" {sum(new)} of {len(new)} new streams begin")
    if len(taken_up) >= 12 and sum(taken_up) / len(taken_up) < share_new / 2:
        return (f"LOST: {sum(taken_up)} of {len(taken_up)} streams taken up go on,"
                f" {sum(new)} of {len(new)} new streams begin")
    return None


lab_module.main(__file__, case)
