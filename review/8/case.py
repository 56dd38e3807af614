"""Another writer's heartbeat, without the field Version, names the service. Later all processes of the
system are killed and started again, and the primary is lost for good."""

import asyncio
import os
import signal
import sys
import tempfile
import time

here = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(here, "..", "stand-ins-2"))
from load import measure  # noqa: E402
from world import Cluster, Record, free_port, http  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For finding out which part matters: FOREIGN=0 leaves the foreign heartbeat out.
FOREIGN = TROUBLE and os.environ.get("FOREIGN", "1") != "0"
MISSING = os.environ.get("MISSING", "Version")
RECOVERY_S = 12.0
DOWN_S = 1.2


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
            if FOREIGN:
                host = cluster.base + "200"
                body = {"Service": "svc", "Address": f"{host}:{free_port(host)}", "Zone": "z-a",
                        "Version": "v1", "Slots": 5, "State": "ready", "ColdRemainingMs": 0,
                        "DbRole": "replica", "Sequence": 1, "born": int(time.time() * 1000)}
                del body[MISSING]
                status, _ = await http(world.control_nodes()[0], "PUT", "/v1/instances/i-other",
                                       body, 1.0)
                record(f"another writer's heartbeat without {MISSING}: {status}")
            before = await measure(cluster, 8)
            record(f"before the final fault: {before}")
            if before["served"] * 4 < before["sent"]:
                record("the case can't run: less than a quarter is served before the final fault")
                return 2
            if TROUBLE:
                for node in world.nodes.values():
                    node.signal(signal.SIGKILL)
                await world.leader().crash("is lost for good")
                await asyncio.sleep(DOWN_S)
                for node in world.nodes.values():
                    node.start()
                record("the machines are back")
            await asyncio.sleep(RECOVERY_S)
            after = await measure(cluster, 15)
            record(f"later than RecoveryS after the final fault: {after}")
            if after["served"] * 4 < after["sent"]:
                record("RECOVER is broken")
                return 1
            return 0
        finally:
            cluster.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
