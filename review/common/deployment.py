"""A small deployment of relay nodes as separate processes on loopback, for the cases of the review.

The store is that of tests/soak/standins.py, the HTTP reader and writer those of tests/soak/wire.py. Workers, clients
and the proxy are written here from the users' pages. Everything that is sent, answered and run goes to record.txt.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))
from standins import Store  # noqa: E402
from wire import call, encode, read_message  # noqa: E402

PROGRAM = ROOT / "target" / "platform" / "geraniumsail-relay"
HEARTBEAT_SECONDS = 1.5
STABLE_WINDOW = 3.0
PORTS = iter(range(10000, 32000))


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def text(address):
    return "%s:%d" % address


class Record:
    """The record of one run: a line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, message):
        self.file.write(f"{self.now():8.3f} {message}\n")

    def say(self, message):
        self.line(message)
        print(f"{self.now():8.3f} {message}", flush=True)


class Worker:
    """An application worker: runs requests, sends heartbeats to the node on its machine, leaves as told."""

    def __init__(self, record, name, service, slots=20, work_seconds=0.02):
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.work_seconds = work_seconds
        self.incarnation = 0
        self.runs = []  # (request id, seconds, path) of each request that it began to work on.
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.announce = None
        self.server = None
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()
        self.begin_incarnation()

    def begin_incarnation(self):
        self.incarnation += 1
        self.id = f"i-{self.name}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True

    async def end(self):
        """The process ends: nothing listens any more, and its connections are closed."""
        self.beating = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def heartbeat(self, state=None):
        self.sequence += 1
        return {"service": self.service, "address": text(self.address), "zone": "zone-1", "version": "v1",
                "slots": self.slots, "state": state or self.state, "cold_remaining": "0ms",
                "sequence": self.sequence, "born": self.born}

    async def send_heartbeat(self, body):
        answer = await call(self.announce, "POST", f"/rpc?call=instances.heartbeat&of={self.id}",
                            {"Host": "node", "Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)
        acknowledged = answer is not None and answer.start.split(" ")[1].startswith("2")
        self.record.line(f"worker {self.id} heartbeat state={body['state']} sequence={body['sequence']} "
                         f"acknowledged={acknowledged}")
        return acknowledged

    async def deregister(self):
        answer = await call(self.announce, "POST", f"/rpc?call=instances.deregister&of={self.id}",
                            {"Host": "node", "Content-Type": "application/json"},
                            json.dumps({"born": self.born}).encode(), 1.0)
        acknowledged = answer is not None and answer.start.split(" ")[1].startswith("2")
        self.record.say(f"worker {self.id} deregister acknowledged={acknowledged}")
        return acknowledged

    async def beat(self):
        while True:
            if self.beating:
                await self.send_heartbeat(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                await self.answer(message, writer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        request = message.get("request-id")
        expected = message.get("expected-instance")
        if expected and expected != self.id:
            self.record.line(f"worker {self.id} rejects {request} with 421")
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {"Request-Id": request, "Instance-Id": self.id}))
            return
        path = message.start.split(" ")[1]
        self.runs.append((request, self.record.now(), path))
        self.record.line(f"worker {self.id} ({self.service}) runs {request}")
        await self.run(message, writer)

    async def run(self, message, writer):
        request = message.get("request-id")
        await asyncio.sleep(self.work_seconds)
        writer.write(encode("HTTP/1.1 200 OK", {"Request-Id": request, "Server-Signature": f"{self.id}.{request}"},
                            f"{request} by {self.service}\n".encode()))


class StoreProxy:
    """Stands between one node and the store. Its open connections can go silent, while new ones work; or it answers
    503 in the place of the store, as one that turns this node away."""

    def __init__(self, target):
        self.target = target
        self.is_turned_away = False
        self.silent = set()
        self.open = {}
        self.count = 0

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()

    def silence(self):
        """From now on nothing passes on the connections that are open, in either direction, without a reset."""
        self.silent |= set(self.open)
        return len(self.open)

    def turn_away(self, away):
        self.is_turned_away = away
        for writers in list(self.open.values()):
            for writer in writers:
                writer.transport.abort()

    async def _refuse(self, reader, writer):
        try:
            while await read_message(reader):
                writer.write(encode("HTTP/1.1 503 Service Unavailable", {}, b"{}"))
                await writer.drain()
                if not self.is_turned_away:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def _serve(self, reader, writer):
        if self.is_turned_away:
            await self._refuse(reader, writer)
            return
        number = self.count = self.count + 1
        back_reader, back_writer = await asyncio.open_connection(*self.target)
        self.open[number] = (writer, back_writer)
        tasks = [asyncio.create_task(self._pump(number, reader, back_writer)),
                 asyncio.create_task(self._pump(number, back_reader, writer))]
        await asyncio.wait(tasks)
        del self.open[number]

    async def _pump(self, number, reader, writer):
        try:
            while data := await reader.read(65536):
                if number not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        if number not in self.silent:
            writer.close()


class Node:
    """One relay process and the worker beside it."""

    def __init__(self, deployment, name, zone, region, worker):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.zone = zone
        self.region = region
        self.worker = worker
        self.process = None
        self.started = None
        self.expected_end = False
        self.outbound, self.inbound, self.ready, self.control, self.metrics = (
            deployment.free_address() for _ in range(5))
        self.settings = deployment.folder / f"{name}.json"

    async def prepare(self):
        await self.worker.start(self.deployment.host)
        self.worker.announce = self.control
        self.to_store = StoreProxy(self.deployment.store.address)
        await self.to_store.start(self.deployment.host)
        # The values that deploy/relay.json takes from the platform's settings.
        self.settings.write_text(json.dumps({
            "node": self.name, "region": self.region, "dataCentre": self.zone, "service": self.worker.service,
            "upstream": text(self.worker.address), "store": text(self.to_store.address),
            "listen": {"caller": text(self.outbound), "peer": text(self.inbound), "ready": text(self.ready),
                       "announce": text(self.control), "metrics": text(self.metrics)},
            "stopGrace": "6s", "retryRatio": 0.2, "minLeaseTime": "1000ms"}))

    async def launch(self):
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "--settings", str(self.settings), stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.started = self.record.now()
        self.expected_end = False
        self.record.line(f"node {self.name} started as process {self.process.pid}")
        self.deployment.tasks.append(asyncio.create_task(self._watch(self.process)))

    async def _watch(self, process):
        code = await process.wait()
        self.record.line(f"node {self.name} process {process.pid} ended with {code}")
        if not self.expected_end:
            self.deployment.ended_by_itself.append((self.name, code))

    async def terminate(self, grace=6.0):
        """SIGTERM, then SIGKILL after the grace time."""
        self.expected_end = True
        self.record.say(f"node {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.record.say(f"node {self.name} gets SIGKILL after its grace time")
            self.process.kill()
            await self.process.wait()
        self.record.say(f"node {self.name} has ended")

    async def kill(self):
        self.expected_end = True
        self.record.say(f"node {self.name} gets SIGKILL")
        self.process.kill()
        await self.process.wait()

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/ready", {"Host": "node"}, timeout=1.0)
        return answer is not None and answer.start.split(" ")[1] == "200"


class Deployment:
    def __init__(self, case_folder):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} is not built")
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.host = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.nodes = []
        self.tasks = []
        self.ended_by_itself = []
        self.sent = 0

    def free_address(self):
        for port in PORTS:
            with socket.socket() as probe:
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
                return probe.getsockname()
        raise CannotRun("no free port")

    def add_node(self, name, service, zone="zone-1", region="region-1", worker_class=Worker, **options):
        worker = worker_class(self.record, name, service, **options)
        node = Node(self, name, zone, region, worker)
        self.nodes.append(node)
        return node

    def publish(self, version, services, rules):
        """The operator writes a configuration; the store's acceptance is the acknowledgement."""
        document = {"version": f"r{version}",
                    "services": [{"name": s, "health_path": "/health", "max_connections": 200, "protocol": "h1",
                                  "tls": False} for s in services],
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                               "idle_timeout": "15000ms"},
                    "virtual_hosts": [{"host": "a.example", "path_rules": rules}]}
        self.store.put("op/config", json.dumps(document))
        self.record.say(f"configuration r{version} acknowledged")
        return self.record.now()

    async def start(self):
        await self.store.start(random.Random(1))
        for node in self.nodes:
            await node.prepare()
            await node.launch()
        for node in self.nodes:
            self.tasks.append(asyncio.create_task(node.worker.beat()))

    async def settle(self, seconds=8.0):
        """Traffic starts some seconds after the machines do."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
        for node in self.nodes:
            if not await node.is_ready():
                raise CannotRun(f"{node.name} is not ready {seconds} s after its start")

    async def request(self, node, path, method="GET", body=b"", deadline_ms=2000, headers=None):
        """One client attempt on a new connection. Returns (id, time sent, status, body); status "lost" without one."""
        self.sent += 1
        request = f"{self.sent:x}-{os.getpid():x}"
        sent = self.record.now()
        self.record.line(f"client at {node.name} sends {request} {method} {path}")
        fields = {"Host": "a.example", "Request-Id": request, "Deadline-Ms": str(deadline_ms), "Connection": "close"}
        answer = await call(node.outbound, method, path, fields | (headers or {}), body, deadline_ms / 1000 + 0.5)
        status = answer.start.split(" ")[1] if answer else "lost"
        self.record.line(f"client at {node.name} gets {status} for {request}")
        return request, sent, status, answer.body if answer else b""

    async def finish(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.expected_end = True
                node.process.kill()
                await node.process.wait()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        self.record.file.flush()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def rule(name, prefix, route_type, service, timeout="1500ms", target="800ms", max_attempts=2, priority=1):
    return {"name": name, "prefix": prefix, "route_type": route_type, "timeout": timeout, "target_latency": target,
            "priority": priority, "service": service, "max_attempts": max_attempts}


def main(case_folder, play):
    """Runs play(deployment, trouble), which returns what broke the rule, an empty text if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(case_folder)
        try:
            broken = await play(deployment, trouble)
            verdict = f"broken: {broken}" if broken else "held"
            deployment.record.say(f"trouble={int(trouble)} rule {verdict}")
            return 1 if broken else 0
        finally:
            await deployment.finish()

    try:
        code = asyncio.run(run())
    except CannotRun as problem:
        print(f"cannot run: {problem}")
        code = 2
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)  # Skips the destructors of streams that outlived the loop.
