"""A router that is cut off from the store goes on with streams of a software version that
it has never heard of, at engines of another one."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab"))

import lab as lab_module  # noqa: E402

CUT_SECONDS = 8.0
DRAIN_SECONDS = 2.0
LINGER_SECONDS = 0.6  # an engine that drains serves on for a little longer
STREAMS = 120


async def client(lab, routers, number, joined):
    """Opens a stream and takes it up once, at another router, if it breaks off."""
    first = routers[number % len(routers)]
    answer = await lab.ask(first, "shop", 300, 600, gap=2)
    if answer.complete or not answer.events:
        return
    await asyncio.sleep(0.02)
    others = [each for each in lab.routers if each is not first]
    again = await lab.ask(random.choice(others), "shop", 300, 600, gap=2,
                          resumes=(answer.attempt, answer.events[-1][0]))
    versions = {version for _, version, _ in answer.events + again.events}
    if len(versions) > 1:
        lab.record.line(f"{answer.attempt}, taken up as {again.attempt}, holds events of"
                        f" {' and '.join(sorted(versions))}")
        joined.append(answer.attempt)


async def case(lab, trouble):
    random.seed(1)
    lab.add_tenant("shop", 50_000_000)
    lab.write_configuration()
    for number in range(4):
        await lab.add_engine(zone=lab_module.ZONES[number], interval=0.04)
    await lab.add_routers(4)
    lost = lab.routers[1]
    proxies = await lab.separate(lost)
    await lab.start_routers()
    # Every router has served streams of the old version.
    await asyncio.gather(*(lab.ask(each, "shop", 300, 40) for each in lab.routers * 2))
    await asyncio.sleep(3)
    if trouble:
        lab.cut(lost, proxies, True)
    await asyncio.sleep(0.5)
    lab.record.line("a release begins: an engine of v2 starts, one of v1 drains")
    new = await lab.add_engine(zone=lab_module.ZONES[0], version="v2", interval=0.04)
    lab.engines[0].drain()
    asyncio.get_running_loop().call_later(DRAIN_SECONDS + LINGER_SECONDS, lab.engines[0].leave)
    await asyncio.sleep(0.6)
    joined, tasks = [], []
    routers = [each for each in lab.routers if each is not lost]
    for number in range(STREAMS):
        tasks.append(asyncio.create_task(client(lab, routers, number, joined)))
        await asyncio.sleep(0.012)
    await asyncio.sleep(0.3)
    lab.record.line("the release is taken back: the engine of v2 drains")
    new.drain()
    await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
    new.leave()
    await asyncio.sleep(CUT_SECONDS - 0.5 - 0.6 - STREAMS * 0.012 - 0.3
                        - DRAIN_SECONDS - LINGER_SECONDS)
    if trouble:
        lab.cut(lost, proxies, False)
    await asyncio.gather(*tasks)
    if len(joined) > 2:
        return f"ORDER: {len(joined)} streams hold events of two software versions"
    return None


lab_module.main(__file__, case)
