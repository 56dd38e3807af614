"""The primary is cut off from the core. While the platform acts on the order to promote another
database, a replica is being replaced: its successor starts."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time

here = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(here, "..", "stand-ins-2"))
from world import Cluster, Record, Session, config, new_id  # noqa: E402

KEY = "key1aaaaaaaaaaaaaaaa"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For finding out which part matters: REPLACE=0 replaces no database, WAIT_S=0.3 does it later.
REPLACE = os.environ.get("REPLACE", "1") != "0"
WAIT_S = float(os.environ.get("WAIT_S", "0"))
CUT_S = 7.0
WRITERS = 16


async def write(cluster, address, until):
    """A requester that writes until the time given, and notes each acknowledged commit."""
    world = cluster.world
    session = None
    while time.monotonic() < until:
        sid = new_id()
        try:
            if session is None:
                session = Session(world, address, "pown", KEY)
                await session.open()
            lines = await session.query(sid, f"WRITE item-{sid} data-{sid}")
        except (OSError, EOFError, asyncio.TimeoutError, TimeoutError):
            session = None
            await asyncio.sleep(0.2)
            continue
        if lines[0].startswith("COMPLETE sig."):
            world.acknowledged[sid] = time.monotonic()
        else:
            await asyncio.sleep(0.1)
        await asyncio.sleep(random.uniform(0, 0.04))
    if session:
        session.close()


async def replace(cluster, name, successor):
    """Starts the successor, which fetches the log and receives from then on; then the database
    leaves."""
    world = cluster.world
    old = world.databases[name]
    new = world.add(successor, cluster.base + str(100 + len(world.databases)), old.zone)
    new.distance_s = old.distance_s
    await new.start()
    asyncio.create_task(world.send_log(world.databases["db-a"], new))
    await asyncio.sleep(2)
    world.catch_up(new)
    await old.leave()


async def main():
    record = Record(os.path.join(here, "record.txt"))
    root = os.path.abspath(os.path.join(here, "..", ".."))
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(record, root, directory)
        world = cluster.world
        try:
            await cluster.start(config(1, rate=1000))
            # Three regions, 20 ms apart, and the work of season-plan.
            world.work_s, world.work_spread = 0.033, (0.5, 1.5)
            for db in world.databases.values():
                db.distance_s = 0.020
            if not await cluster.wait_ready():
                record("the case can't run: the front machines are not ready")
                return 2
            await asyncio.sleep(1)
            end = time.monotonic() + 24
            writers = [asyncio.create_task(write(cluster, node.front, end))
                       for node in cluster.fronts() for _ in range(WRITERS // 2)]
            await asyncio.sleep(3)
            if not world.acknowledged:
                record("the case can't run: nothing was acknowledged")
                return 2
            ordered = asyncio.Event()

            async def note_order():
                ordered.set()
            world.on_promote = note_order
            first = world.databases["db-a"]
            if TROUBLE:
                first.core_cut = True
                record("db-a is cut off from the core")
            cut_end = time.monotonic() + CUT_S
            try:
                await asyncio.wait_for(ordered.wait(), CUT_S)
            except (asyncio.TimeoutError, TimeoutError):
                record("no promotion was ordered")
            await asyncio.sleep(WAIT_S)
            tasks = [asyncio.create_task(replace(cluster, "db-c", "db-x"))] if REPLACE else []
            await asyncio.sleep(max(0.0, cut_end - time.monotonic()))
            first.core_cut = False
            record("db-a is in touch with the core")
            await asyncio.gather(*tasks, *writers)
            leader = world.leader()
            record(f"{len(world.acknowledged)} commits were acknowledged; {len(world.promotions)} "
                   f"promotions; the primary is {leader.name if leader else 'none'}")
            if world.lost:
                record(f"LOST is broken: {len(world.lost)} acknowledged commits are not in the log "
                       "of the database that was promoted")
                return 1
            return 0
        finally:
            cluster.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
