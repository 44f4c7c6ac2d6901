"""The store comes back from a copy, and streams that began since can't be taken up."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab"))

import lab as lab_module  # noqa: E402

CONTACT_SECONDS = 3.0
STREAMS, RESETS, NEW = 32, 17, 24
PROMPT, OUTPUT = 300, 1200


async def client(lab, first, number, breaks_at, taken_up):
    """Opens a stream at `first`. If `breaks_at` is set, its connection is reset then, and the
    client takes it up at another router; repeats that once, as the answer says."""
    answer = await lab.ask(first, "shop", PROMPT, OUTPUT, gap=2, breaks_at=breaks_at)
    if answer.complete or not answer.events:
        return
    others = [each for each in lab.routers if each is not first]
    begun = (answer.attempt, answer.events[-1][0])
    for retry in range(2):
        again = await lab.ask(others[(number + retry) % len(others)], "shop", PROMPT, OUTPUT,
                              gap=2, resumes=begun)
        if again.events or not again.retry_after:
            break
        await asyncio.sleep(again.retry_after)
    taken_up.append(bool(again.events))


async def case(lab, trouble):
    lab.add_tenant("shop", 50_000_000)
    lab.write_configuration()
    for number in range(4):
        await lab.add_engine(zone=lab_module.ZONES[number], interval=0.04,
                             version="v1" if number < 2 else "v2")
    await lab.add_routers(4)
    await lab.start_routers()
    await asyncio.sleep(3)
    copy = lab.store.copy()
    lab.record.line("a copy of the store is taken")
    first, others = lab.routers[0], lab.routers[1:]
    taken_up, tasks = [], []
    breaks_at = time.monotonic() + 2.2 + 0.7 + CONTACT_SECONDS + 1.0
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(
            client(lab, first, number, breaks_at if number < RESETS else None, taken_up)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    if trouble:
        for each in lab.routers:
            lab.store.modes[each.name] = "reset"
    await asyncio.sleep(0.7)
    if trouble:
        lab.store.restore(copy)
        lab.record.line("the store comes back from the copy")
        for each in lab.routers:
            lab.store.modes[each.name] = "up"
    await asyncio.sleep(breaks_at - time.monotonic())
    lab.record.line(f"{RESETS} of {STREAMS} connections of clients to {first.name} are reset")
    begun = []
    for number in range(NEW):
        begun.append(asyncio.create_task(
            lab.ask(others[number % 3], "shop", PROMPT, 40, gap=2)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    new = [bool(each.events) for each in await asyncio.gather(*begun)]
    text = (f"{sum(taken_up)} of {len(taken_up)} streams taken up go on,"
            f" {sum(new)} of {len(new)} new streams begin")
    lab.record.line(text)
    if len(taken_up) >= 12 and sum(taken_up) / len(taken_up) < sum(new) / len(new) / 2:
        return f"LOST: {text}"
    return None


lab_module.main(__file__, case)
