"""A heartbeat of another writer, for a service that no config names, gives the address of a replica.
Later the other replica receives nothing for a while. The primary stays well all the time."""

import asyncio
import os
import signal
import sys
import tempfile
import time

here = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(here, "..", "stand-ins-2"))
from world import Cluster, Record, Session, http, new_id  # noqa: E402

KEY = "key1aaaaaaaaaaaaaaaa"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For finding out which part matters: FOREIGN=0 leaves the foreign heartbeat out.
FOREIGN = TROUBLE and os.environ.get("FOREIGN", "1") != "0"
DEAF_S = 5.0


async def write(cluster, session, until, spacing=0.05):
    """Writes until the time given, and notes each acknowledged commit."""
    world = cluster.world
    while time.monotonic() < until:
        sid = new_id()
        try:
            lines = await session.query(sid, f"WRITE item-{sid} data-{sid}")
        except (OSError, EOFError, asyncio.TimeoutError, TimeoutError):
            return
        if lines[0].startswith("COMPLETE sig."):
            world.acknowledged[sid] = time.monotonic()
        await asyncio.sleep(spacing)


async def main():
    record = Record(os.path.join(here, "record.txt"))
    root = os.path.abspath(os.path.join(here, "..", ".."))
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(record, root, directory)
        world = cluster.world
        try:
            await cluster.start()
            if not await cluster.wait_ready():
                record("the case can't run: the front machines are not ready")
                return 2
            await asyncio.sleep(1)
            db_b, db_c = world.databases["db-b"], world.databases["db-c"]
            session = Session(world, cluster.fronts()[0].front, "plog", KEY)
            await session.open()
            await write(cluster, session, time.monotonic() + 1)
            if not world.acknowledged:
                record("the case can't run: nothing was acknowledged")
                return 2
            if FOREIGN:
                body = {"Service": "nightly-backup", "Address": f"{db_b.host}:{db_b.port}",
                        "Zone": db_b.zone, "Version": "b7", "Slots": 1, "State": "ready",
                        "ColdRemainingMs": 0, "DbRole": "replica", "Sequence": 1,
                        "born": int(time.time() * 1000)}
                status, _ = await http(world.control_nodes()[0], "PUT",
                                       "/v1/instances/backup-agent", body, 1.0)
                record(f"another writer's heartbeat for service nightly-backup, address of db-b: "
                       f"{status}")
            await write(cluster, session, time.monotonic() + 4)
            if TROUBLE:
                db_c.deaf = True
                record("db db-c receives nothing from now on")
            await write(cluster, session, time.monotonic() + DEAF_S)
            db_c.deaf = False
            record("db db-c receives again")
            await write(cluster, session, time.monotonic() + 4)
            session.close()
            leader = world.leader()
            record(f"{len(world.acknowledged)} commits were acknowledged; the primary is "
                   f"{leader.name if leader else 'none'} with {len(leader.log) if leader else 0}")
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
