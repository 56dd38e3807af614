"""Stand-ins of the platform for the scripts of this review: databases, their heartbeats, the
promotion service, an operator and requesters, on loopback addresses and the real clock.

The databases follow PROTOCOL.md: a commit is acknowledged once `sync` replicas have received it, a
primary is replaced only through POST /promote, and a database that leaves serves on until it has
sent DELETE. Disturbances are methods that the scripts call."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time

HEARTBEAT_S = 1.2
REPLICATION_S = 0.005
PROMOTE_S = 0.6
WORK_S = 0.002


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


class Database:
    def __init__(self, world, service, name, host, zone, primary=False, slots=5):
        self.world, self.service, self.name, self.zone = world, service, name, zone
        self.host, self.port, self.slots = host, free_port(host), slots
        self.max_conns = 32
        self.term = 1
        self.primary = primary
        self.log = []  # (term, number, id, item, data)
        self.pause = 0
        self.state = "ready"
        self.alive = False
        self.deaf = False
        # Partitioned from the core machines: their calls and the heartbeats get no answer.
        self.core_cut = False
        # One way, from any other database.
        self.distance_s = REPLICATION_S
        self.sequence = 0
        self.born = 0
        self.answers_beats = True
        self.control = None
        self.waiters = []
        self.writers = set()
        self.server = None
        self.beat_task = None

    def end(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)

    async def start(self):
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.pause = 0
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 21)
        self.beat_task = asyncio.create_task(self.beats())
        self.world.record(f"db {self.name} started as {'primary' if self.primary else 'replica'}")

    async def crash(self, why="crashed"):
        self.alive = False
        self.world.record(f"db {self.name} {why}")
        if self.beat_task:
            self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for waiter in self.waiters:
            if not waiter[1].done():
                waiter[1].cancel()
        self.waiters = []

    # Heartbeats.

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def beat(self):
        self.sequence += 1
        body = {"Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                "DbRole": "primary" if self.primary else "replica", "Sequence": self.sequence,
                "born": self.born}
        return await self.call("PUT", body)

    async def call(self, method, body):
        for _ in range(4):
            if self.core_cut:
                await asyncio.sleep(1.0)
                continue
            nodes = self.world.control_nodes()
            address = self.control if self.control in nodes else random.choice(nodes)
            status, _ = await http(address, method, f"/v1/instances/{self.name}", body, 1.0)
            self.control = address if status == 200 else None
            if status == 200:
                return address
        return None

    async def leave(self, drain_s=7.0, body=None):
        """Reports draining, serves for DrainMs after the acknowledgement, then ends."""
        self.state = "draining"
        address = await self.beat()
        self.world.record(f"db {self.name} reports draining, acknowledged by {address}")
        await asyncio.sleep(drain_s + 0.2)
        await self.deregister(body)

    async def deregister(self, body=None, control=None):
        if self.beat_task:
            self.beat_task.cancel()
        if control:
            self.control = control
        address = await self.call("DELETE", body)
        self.world.record(f"db {self.name} sent DELETE, acknowledged by {address}")
        await self.crash("ended")
        return address

    # Sessions.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = {"values": {}, "prepared": {}, "tx": None, "failed": False, "writes": [],
                   "term": self.term}
        try:
            line = await self.line(reader)
            words = line.split(" ")
            if words[0] != "STARTUP" or len(words) < 3 or words[1] != self.service or (
                    len(words) > 3 and words[3] != self.name):
                writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
                await writer.drain()
                return
            if len(self.writers) > self.max_conns:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                await writer.drain()
                return
            session["tenant"] = words[2]
            self.ready(writer, session)
            while True:
                line = await self.line(reader)
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                sid, _, text = rest.partition(" ")
                for out in await self.run(session, sid, text):
                    writer.write((out + "\r\n").encode())
                self.ready(writer, session)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def line(self, reader):
        return (await reader.readuntil(b"\r\n"))[:-2].decode()

    def ready(self, writer, session):
        state = "I" if not session["tx"] else "E" if session["failed"] else "T"
        writer.write(f"READY {state} {self.end()[0]}.{self.end()[1]}\r\n".encode())

    def status_row(self):
        term, number = self.end()
        role = "primary" if self.primary else "replica"
        return f"DATAROW {role} {self.term} {term}.{number} {self.pause} 0 0 {len(self.writers)}"

    async def run(self, session, sid, text):
        world, done = self.world, ["COMPLETE -"]
        command, _, rest = text.partition(" ")
        if self.core_cut and session["tenant"] in {node.ip for node in world.nodes.values()
                                                   if node.core}:
            await asyncio.sleep(3.0)
            raise ConnectionError
        if sid != "-":
            world.record(f"db {self.name} received {sid} {text}")
        if command in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if command == "PAUSE" and not self.primary and int(rest) > self.term:
                self.pause = max(self.pause, int(rest))
            elif command == "RESUME":
                self.pause = 0
                world.catch_up(self)
            elif command == "STEPDOWN" and self.primary and self.term < int(rest):
                self.demote()
            world.record(f"db {self.name} {text}: {self.status_row()}")
            return [self.status_row()] + done
        if command == "DISCARD":
            session["values"], session["prepared"] = {}, {}
            return done
        if command == "ROLLBACK":
            session.update(tx=None, failed=False, writes=[])
            return done
        if session["failed"] and command != "COMMIT":
            return ["ERROR MALFORMED failed transaction"]
        await asyncio.sleep(world.work_s * random.uniform(*world.work_spread))
        if command == "WAITLSN":
            point, _, text = rest.partition(" ")
            if self.end() < tuple(int(part) for part in point.split(".")):
                return [f"ERROR LAGGING {self.name}"]
            command, _, rest = text.partition(" ")
        if command == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return done
        if command == "PARSE":
            name, access, shape = rest.split(" ", 2)
            session["prepared"][name] = (access, shape)
            return done
        if command == "CLOSE":
            session["prepared"].pop(rest, None)
            return done
        if command == "BEGIN":
            if not rest and not self.primary:
                return [f"ERROR READONLY {self.name}"]
            session.update(tx="read" if rest else "write", term=self.term, writes=[])
            return done
        writes = command == "WRITE"
        if command == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self.fail(session, "NOSTMT")
            writes = session["prepared"][name][0] == "WRITE"
        lost = not self.primary or (session["tx"] == "write" and session["term"] != self.term)
        if command == "COMMIT":
            pending, tx = session["writes"], session["tx"]
            failed = session["failed"]
            session.update(tx=None, failed=False, writes=[])
            if failed:
                return ["ERROR ABORTED failed transaction"]
            if not pending:
                return [world.sign(sid)]
            if lost:
                return [f"ERROR READONLY {self.name}"]
            return await self.commit(sid, pending)
        if (writes or session["tx"] == "write") and lost:
            return self.fail(session, "READONLY")
        item, _, data = rest.partition(" ")
        if writes:
            if session["tx"]:
                session["writes"].append((sid, item, data))
                return [world.sign(sid)]
            return await self.commit(sid, [(sid, item, data)])
        world.record(f"db {self.name} runs {sid} for {session['tenant']} at {self.end()}")
        value = next((entry[4] for entry in reversed(self.log) if entry[3] == item), "none")
        return [f"DATAROW {value}", world.sign(sid)]

    def fail(self, session, code):
        session["failed"] = bool(session["tx"])
        return [f"ERROR {code} {self.name}"]

    async def commit(self, sid, writes):
        world = self.world
        for write_id, item, data in writes:
            self.log.append((self.term, self.end()[1] + 1, write_id, item, data))
        point = self.end()
        waiter = (point, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        world.record(f"db {self.name} commits {sid} as {point[0]}.{point[1]}")
        world.replicate(self)
        confirmed = await waiter[1]
        if not confirmed:
            return ["ERROR TIMEOUT lost the lead"]
        return [world.sign(sid)]

    def demote(self):
        self.primary = False
        self.world.record(f"db {self.name} is no longer primary")
        for _, future in self.waiters:
            if not future.done():
                future.set_result(False)
        self.waiters = []
        asyncio.create_task(self.beat())


class World:
    def __init__(self, record, service="svc", sync=1):
        self.record, self.service, self.sync = record, service, sync
        self.databases = {}
        self.nodes = {}
        self.acknowledged = {}
        self.lost = []
        self.promotions = []
        # How long the next calls to the platform wait there until they are acted upon.
        self.slow_calls = []
        # How long a database works on a statement.
        self.work_s = WORK_S
        self.work_spread = (1.0, 1.0)
        # Called once a call to promote has been accepted.
        self.on_promote = None

    # Replication and promotion.

    def add(self, name, host, zone, primary=False):
        database = Database(self, self.service, name, host, zone, primary)
        self.databases[name] = database
        return database

    def leader(self):
        leaders = [db for db in self.databases.values() if db.alive and db.primary]
        return max(leaders, key=lambda db: db.term) if leaders else None

    def replicate(self, primary):
        for db in self.databases.values():
            if db is not primary and not db.primary:
                asyncio.create_task(self.send_log(primary, db))

    async def send_log(self, primary, db):
        sent = list(primary.log)
        await asyncio.sleep(db.distance_s)
        if not (primary.alive and primary.primary and db.alive) or db.deaf or db.pause:
            return
        if db.primary or db.term > primary.term:
            return
        db.term = primary.term
        if db.log != primary.log[:len(db.log)]:
            db.log = []
        db.log.extend(sent[len(db.log):])
        self.confirm(primary, db)

    def confirm(self, primary, db):
        for point, future in list(primary.waiters):
            holders = sum(1 for other in self.databases.values() if other is not primary
                          and other.alive and not other.primary and other.log
                          and other.end() >= point)
            if holders >= self.sync and not future.done():
                self.record(f"commit {point[0]}.{point[1]} is confirmed by {db.name}")
                future.set_result(True)
                primary.waiters.remove((point, future))

    def catch_up(self, db):
        primary = self.leader()
        if primary and primary is not db:
            asyncio.create_task(self.send_log(primary, db))

    async def promote(self, name, holder, epoch):
        db = self.databases.get(name)
        self.record(f"platform: promote {name} by {holder} epoch {epoch}")
        if db is None or not db.alive:
            return 409
        if db.primary:
            return 200
        self.promotions.append((time.monotonic(), name, holder, epoch))
        if self.on_promote:
            asyncio.create_task(self.on_promote())

        async def take_effect():
            await asyncio.sleep(PROMOTE_S)
            if not db.alive:
                return
            missing = [sid for sid in self.acknowledged
                       if sid not in {entry[2] for entry in db.log}]
            db.term = max(other.term for other in self.databases.values()) + 1
            db.primary, db.pause = True, 0
            self.record(f"db {name} leads term {db.term} with {len(db.log)} commits")
            if missing:
                self.lost.extend(missing)
                self.record(f"LOST {' '.join(missing)}")
            asyncio.create_task(db.beat())
            for other in self.databases.values():
                if other is not db:
                    other.pause = 0
                    self.catch_up(other)
            await asyncio.sleep(1.0)
            for other in self.databases.values():
                if other is not db and other.primary and other.alive:
                    other.demote()
        asyncio.create_task(take_effect())
        return 200

    def sign(self, sid):
        return f"COMPLETE sig.{sid}"

    async def platform(self, host):
        async def serve(reader, writer):
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                body = json.loads(await reader.readexactly(int(headers["Content-Length"])))
                if self.slow_calls:
                    delay = self.slow_calls.pop(0)
                    self.record(f"platform: the call to promote {body['Id']} waits {delay} s")
                    await asyncio.sleep(delay)
                status = await self.promote(body["Id"], headers.get("Duty-Holder"),
                                            headers.get("Fencing-Token"))
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n"
                             "Connection: close\r\n\r\n{}".encode())
                await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        self.platform_port = free_port(host)
        await asyncio.start_server(serve, host, self.platform_port)
        self.platform_address = f"{host}:{self.platform_port}"

    # The processes of the system.

    def control_nodes(self):
        return [node.control for node in self.nodes.values() if node.core]


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, world, root, directory, ip, zone, core, seeds, ports, zones):
        self.world, self.ip, self.zone, self.core = world, ip, zone, core
        self.ports = ports
        self.control = f"{ip}:{ports['control']}"
        self.front = f"{ip}:{ports['front']}"
        self.directory = os.path.join(directory, ip)
        os.makedirs(os.path.join(self.directory, "data"), exist_ok=True)
        self.root, self.seeds, self.zones = root, seeds, zones
        self.process = None
        self.founded = False

    def command(self):
        roles = {}
        section = None
        with open(os.path.join(self.root, "deploy/system.toml"), encoding="utf-8") as deploy:
            for line in deploy:
                if line.startswith("[roles."):
                    section = line.strip()[7:-1]
                elif line.startswith("run = ") and section:
                    roles[section] = line.split('"')[1]
        run = roles["control" if self.core else "entry"]
        values = {"Ip": self.ip, "Zone": self.zone, "Region": self.zone + "-region",
                  "InternalPorts.0": str(self.ports["peers"]),
                  "InternalPorts.1": str(self.ports["http"]), "Seeds": ",".join(self.seeds),
                  "Listen.Front": self.front,
                  "Listen.Readiness": f"{self.ip}:{self.ports['ready']}",
                  "Listen.Control": self.control, "Limits.MemoryMb": "260" if not self.core
                  else "256", "Limits.MaxFds": "4300" if not self.core else "4096",
                  "FaultTolerance.Machines": "1", "DataDir": os.path.join(self.directory, "data"),
                  "CloudApi.Address": self.world.platform_address}
        run = run.replace("{{#Zones}}{{@}}{{,}}{{/Zones}}", ",".join(self.zones))
        for name, value in values.items():
            run = run.replace("{{" + name + "}}", value)
        return run.split(" ")

    def start(self):
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8"}
        if self.core:
            env["SHALLOTLEVER_MAY_FOUND"] = "false" if self.founded else "true"
        self.founded = True
        log = open(os.path.join(self.directory, "log"), "ab")
        self.process = subprocess.Popen(self.command(), cwd=self.root, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        self.world.record(f"node {self.ip} started")

    def signal(self, number):
        self.world.record(f"node {self.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


async def http(address, method, path, body, timeout):
    """Returns the status and the body; the status is 0 without an answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else (body if isinstance(body, bytes) else
                                     json.dumps(body).encode())
    writer = None
    try:
        async with asyncio.timeout(timeout) if hasattr(asyncio, "timeout") else _Deadline(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            kind = "Content-Type: application/json\r\n" if data else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{kind}"
                         f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                         + data)
            answer = await reader.read(-1)
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), content
    except (OSError, asyncio.TimeoutError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class _Deadline:
    """asyncio.timeout() of later versions of Python."""

    def __init__(self, seconds):
        self.seconds = seconds

    async def __aenter__(self):
        task = asyncio.current_task()
        self.fired = False

        def fire():
            self.fired = True
            task.cancel()
        self.handle = asyncio.get_running_loop().call_later(self.seconds, fire)

    async def __aexit__(self, kind, error, trace):
        self.handle.cancel()
        if kind is asyncio.CancelledError and self.fired:
            raise asyncio.TimeoutError
        return False


class Session:
    """A requester's session at a front node."""

    def __init__(self, world, address, database, key):
        self.world, self.address, self.database, self.key = world, address, database, key
        self.reader = self.writer = None
        self.state = "I"

    async def open(self, timeout=2.0):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 21), timeout)
        self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
        return await self.answer(timeout)

    async def answer(self, timeout):
        lines = []
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout))[:-2].decode()
            lines.append(line)
            if line.startswith("READY "):
                self.state = line.split(" ")[1]
                return lines
            if line.startswith("ERROR") and len(lines) == 1 and self.writer.is_closing():
                return lines

    async def query(self, sid, text, timeout=10.0):
        self.world.record(f"requester sends {sid} {text} to {self.address}")
        self.writer.write(f"QUERY {sid} {text}\r\n".encode())
        lines = await self.answer(timeout)
        self.world.record(f"requester gets {sid}: {' | '.join(lines)}")
        return lines

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None


_serial = 0


def new_id():
    global _serial
    _serial += 1
    return f"{os.getpid():x}-{_serial:06x}"


def config(version, service="svc", sync=1, timeout=1000, idle=3000, routes=None, rate=400):
    kinds = routes or [("plog", "primary"), ("pown", "read_your_writes"),
                       ("pold", "bounded_staleness")]
    return {
        "Version": version,
        "Routes": [{"Name": "r-" + host, "Host": host, "PathPrefix": "/", "RouteType": kind,
                    "TimeoutMs": timeout, "TargetLatencyMs": 600, "Priority": 1,
                    "Service": service, "MaxAttempts": 2, "MaxStalenessMs": 1500,
                    "AuthExempt": False} for host, kind in kinds],
        "Services": [{"Name": service, "HealthPath": "/health", "MaxConns": 32, "Protocol": "h1",
                      "Tls": False, "SyncReplicas": sync}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000, "TxnIdleMs": idle},
        "Tenants": [{"Name": "tenant1", "ApiKeys": ["key1aaaaaaaaaaaaaaaa"], "Priority": 1,
                     "RatePerS": rate, "Burst": rate}]}


class Cluster:
    """Three core machines and some front machines, each at a loopback address of its own."""

    def __init__(self, record, root, directory, fronts=2, sync=1):
        self.world = World(record, sync=sync)
        self.record = record
        third = random.randrange(1, 250)
        second = random.randrange(16, 250)
        self.base = f"127.{second}.{third}."
        self.root, self.directory = root, directory
        self.zones = ["z-a", "z-b", "z-c"]
        self.front_count = fronts

    async def start(self, body=None):
        world = self.world
        await world.platform(self.base + "1")
        cores = [self.base + str(10 + i) for i in range(3)]
        # The same ports on all machines, free on every address.
        ports = {name: free_port("0.0.0.0")
                 for name in ("peers", "http", "front", "ready", "control")}
        seeds = [f"{ip}:{ports['control']}" for ip in cores]
        for i, ip in enumerate(cores):
            world.nodes[ip] = Node(world, self.root, self.directory, ip, self.zones[i], True,
                                   seeds, ports, self.zones)
        for i in range(self.front_count):
            ip = self.base + str(20 + i)
            world.nodes[ip] = Node(world, self.root, self.directory, ip, self.zones[i % 3], False,
                                   seeds, ports, self.zones)
        for node in world.nodes.values():
            node.start()
        for i, name in enumerate(["db-a", "db-b", "db-c"]):
            db = world.add(name, self.base + str(100 + i), self.zones[i], primary=i == 0)
            await db.start()
        await self.put_config(body or config(1))

    def fronts(self):
        return [node for node in self.world.nodes.values() if not node.core]

    def cores(self):
        return [node for node in self.world.nodes.values() if node.core]

    async def put_config(self, body, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for address in self.world.control_nodes():
                status, _ = await http(address, "PUT", "/v1/config", body, 1.0)
                if status:
                    self.record(f"operator: config {body['Version']} at {address}: {status}")
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [(await http(f"{node.ip}:{node.ports['ready']}", "GET", "/v1/ready", None,
                                  1.0))[0] for node in self.fronts()]
            if all(state == 200 for state in states):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        """The core node that was elected last, by the nodes' logs; for choosing whom to disturb."""
        newest, chosen = -1, None
        for node in self.cores():
            with open(os.path.join(node.directory, "log"), "rb") as log:
                for line in log:
                    if b'"event":"controller_elected"' in line:
                        term = json.loads(line)["control_term"]
                        if term > newest:
                            newest, chosen = term, node
        return chosen

    def stop(self):
        for node in self.world.nodes.values():
            if node.running():
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    node.process.wait()
                except OSError:
                    pass
