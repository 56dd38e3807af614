"""Requests on all three kinds of routes, counted as they are answered."""

import asyncio
import time

from world import Session, new_id

KEY = "key1aaaaaaaaaaaaaaaa"


async def request(cluster, node, database, counts):
    """Two statements, each in a session of its own."""
    world = cluster.world
    for kind in ("READ", "WRITE") if database != "pold" else ("READ", "READ"):
        counts["sent"] += 1
        session = Session(world, node.front, database, KEY)
        sid = new_id()
        try:
            await session.open()
            data = f" data-{sid}" if kind == "WRITE" else ""
            lines = await session.query(sid, f"{kind} item-{sid}{data}", 4.0)
            if any(line.startswith("COMPLETE") for line in lines):
                counts["served"] += 1
                if kind == "WRITE":
                    world.acknowledged[sid] = time.monotonic()
        except (OSError, EOFError, asyncio.TimeoutError, TimeoutError):
            pass
        session.close()


async def measure(cluster, length_s):
    counts = {"sent": 0, "served": 0}
    tasks = []
    end = time.monotonic() + length_s
    while time.monotonic() < end:
        for node in cluster.fronts():
            for database in ("plog", "pown", "pold"):
                tasks.append(asyncio.create_task(request(cluster, node, database, counts)))
        await asyncio.sleep(0.4)
    await asyncio.gather(*tasks)
    return counts
