"""Stand-ins of the platform's store, of workers and of clients, and the start of relay nodes, for the review's scripts.

Every machine has a loopback address of its own. Nodes run with the command of deploy/system.toml and with settings
that have the fields of deploy/relay.json.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/platform/geraniumsail-relay"
HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
HISTORY_SECONDS = 20.0  # "history" of the platform's store.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """The next whole HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("truncated head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, headers, body=b"", timeout=ACK_SECONDS):
    """One exchange on a new connection; None if there was no whole answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store. down: every call is answered 503, and nothing is done; leases pause meanwhile."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1
        self.forgotten = 0  # Revision up to which the history is gone.
        self.down = False
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()

    def put(self, key, text, lease=0):
        self._change(key, base64.b64encode(text.encode()).decode(), lease)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _change(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.history.append((time.monotonic(), dict(self.items[key])))
        self._notify()

    def _remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append((time.monotonic(), {"key": key, "revision": self.revision, "deleted": True}))
        self._notify()

    def _expire(self):
        if self.down:
            return
        now = time.monotonic()
        for lease in [k for k, v in self.leases.items() if v[0] <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self._remove(key)

    def set_down(self, down):
        self.down = down
        self._notify()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, body = (503, {}) if self.down else await self._answer(message)
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def _answer(self, message):
        self._expire()
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        body = json.loads(message.body) if message.body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            items = [v for k, v in sorted(self.items.items()) if k.startswith(query["prefix"])
                     and k > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            text = body["ttl_time"]
            seconds = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": lease, "ttl_time": text}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_time": f"{int(seconds * 1000)}ms"}

    async def _watch(self, prefix, after, seconds):
        end = time.monotonic() + seconds
        while True:
            if self.down:
                return 503, {}
            while self.history and self.history[0][0] < time.monotonic() - HISTORY_SECONDS:
                self.forgotten = self.history.pop(0)[1]["revision"]
            if after < self.forgotten:
                return 410, {}
            events = [e for _, e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self._expire()

    def _transact(self, body):
        rows = body.get("expected_rev", [])
        if any((self.items[r["key"]]["revision"] if r["key"] in self.items else 0) != r["revision"] for r in rows):
            return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
        if any(put["lease"] and put["lease"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [p["key"] for p in body.get("puts", [])]):
            return 403, {}
        for put in body.get("puts", []):
            self._change(put["key"], put["value"], put["lease"])
        for key in body.get("deletes", []):
            if key in self.items:
                self._remove(key)
        return 200, {"revision": self.revision}


class Proxy:
    """Forwards connections to the store. cut: connections are reset, and so are new ones."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.writers = set()
        self.address = None

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, back_writer}
        self.writers |= pair
        await asyncio.gather(self._pump(reader, back_writer), self._pump(back_reader, writer), return_exceptions=True)
        self.writers -= pair

    @staticmethod
    async def _pump(reader, writer):
        try:
            while data := await reader.read(1 << 18):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()


class Worker:
    """A worker as PROTOCOL.md describes it: runs requests, reports itself, rejects requests for another instance."""

    def __init__(self, machine, slots=20, work_seconds=0.02):
        self.machine = machine
        self.slots = slots
        self.work_seconds = work_seconds
        self.id = f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.reports = True
        self.arrivals = []  # (time, request id): began to work.
        self.running = 0
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.machine.host, 0)
        self.address = self.server.sockets[0].getsockname()

    def heartbeat(self):
        """The next heartbeat: target and body."""
        self.sequence += 1
        body = {"service": self.machine.service, "address": "%s:%d" % self.address, "zone": self.machine.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining": "0ms",
                "sequence": self.sequence, "born": self.born}
        return f"/rpc?call=instances.heartbeat&of={self.id}", json.dumps(body).encode()

    async def post(self, target, body):
        """True if acknowledged."""
        answer = await call(self.machine.control, "POST", target,
                            {"Host": "node", "Content-Type": "application/json"}, body)
        return answer is not None and 200 <= answer.status < 300

    async def report(self):
        while self.reports:
            await self.post(*self.heartbeat())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def deregister(self):
        self.sequence += 1
        return await self.post(f"/rpc?call=instances.deregister&of={self.id}",
                               json.dumps({"sequence": self.sequence, "born": self.born}).encode())

    async def end(self):
        self.reports = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.connections.discard(writer)
        writer.close()

    async def _answer(self, message):
        request = message.get("request-id")
        if message.start.startswith("GET /health "):
            return encode("HTTP/1.1 200 OK", {"Instance-Id": self.id})
        if message.get("expected-instance") not in ("", self.id):
            return encode("HTTP/1.1 421 Misdirected Request", {"Request-Id": request, "Instance-Id": self.id})
        if self.running >= self.slots:
            return encode("HTTP/1.1 503 Service Unavailable", {"Request-Id": request, "Not-Executed": "1"})
        self.arrivals.append((self.machine.fleet.record.now(), request))
        self.machine.fleet.record.write(f"run {request} at {self.id} caller={message.get('caller-service')} "
                                        f"deadline={message.get('deadline-ms')}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        return encode("HTTP/1.1 200 OK", {"Request-Id": request, "Server-Signature": f"sig-{request}"},
                      f"{request} by {self.machine.service}".encode())


class Machine:
    """One machine: a worker, its node, and the addresses of both."""

    def __init__(self, fleet, index, service, zone):
        self.fleet = fleet
        self.name = f"m{index}"
        self.host = f"127.{fleet.net}.{index + 1}"
        self.service = service
        self.zone = zone
        self.worker = Worker(self)
        self.to_store = Proxy(None)
        self.process = None
        self.exit_codes = []
        self.started_at = None
        self.expected_end = False
        self.caller, self.peer, self.ready, self.control, self.metrics = (
            free_address(self.host) for _ in range(5))

    async def start(self):
        await self.worker.start()
        self.to_store.target = self.fleet.store.address
        await self.to_store.start(self.host)
        await self.launch()
        self.fleet.spawn(self.worker.report())

    async def launch(self):
        text = "%s:%d"
        settings = self.fleet.folder / f"{self.name}.json"
        settings.write_text(json.dumps({
            "node": self.name, "region": "region-a", "dataCentre": self.zone, "service": self.service,
            "upstream": text % self.worker.address, "store": text % self.to_store.address,
            "listen": {"caller": text % self.caller, "peer": text % self.peer, "ready": text % self.ready,
                       "announce": text % self.control, "metrics": text % self.metrics},
            "stopGrace": "6s", "retryRatio": 0.2, "minLeaseTime": "1000ms"}))
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(str(PROGRAM), "--settings", str(settings), cwd=ROOT,
                                                                stdout=log, stderr=log)
        self.started_at = self.fleet.record.now()
        self.expected_end = False
        self.fleet.record.write(f"process of {self.name} started")

    async def stop(self, number):
        """Signals the process and waits for its end, at most the grace time. Returns the exit code."""
        self.expected_end = True
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.write(f"process of {self.name} gets {signal.Signals(number).name}")
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except asyncio.TimeoutError:
            self.fleet.record.write(f"process of {self.name} outlived its grace time")
            self.process.kill()
            await self.process.wait()
        self.fleet.record.write(f"process of {self.name} ended with code {self.process.returncode}")
        self.exit_codes.append(self.process.returncode)
        return self.process.returncode

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/ready", {"Host": "node"}, timeout=1)
        return answer is not None and answer.status == 200


def free_address(host):
    """A free port below the range from which the system takes ports of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return host, port
            except OSError:
                continue
    raise OSError("no free port")


class Fleet:
    """services: one entry for each machine."""

    def __init__(self, case_folder, services, routes, zones=("zone-a",)):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store()
        self.routes = routes
        self.services = sorted(set(services))
        self.tasks = []
        self.machines = [Machine(self, i, service, zones[i % len(zones)]) for i, service in enumerate(services)]
        self.answers = {}  # Request id -> (time sent, status or "lost").
        self.count = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def configure(self, version, more_routes=0):
        """more_routes: number of routes of another host."""
        rules = [{"name": r["prefix"].strip("/"), "timeout": "1200ms", "target_latency": "1000ms", "priority": 1,
                  "max_attempts": 2, **r} for r in self.routes]
        self.store.put("op/config", json.dumps({
            "version": f"r{version}",
            "services": [{"name": s, "health_path": "/health", "max_connections": 400} for s in self.services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                       "idle_timeout": "15000ms"},
            "virtual_hosts": [{"host": "a.example", "path_rules": rules},
                              {"host": "b.example", "path_rules": [
                                  {"name": f"more-{i}", "prefix": f"/more-{i}/", "route_type": "safe",
                                   "timeout": "1200ms", "target_latency": "1000ms", "priority": 1, "max_attempts": 2,
                                   "service": self.services[0]} for i in range(more_routes)]}]}))

    async def start(self):
        if not PROGRAM.exists():
            raise FileNotFoundError(PROGRAM)
        await self.store.start(f"127.{self.net}.250")
        self.configure(5)
        for machine in self.machines:
            await machine.start()
        for _ in range(60):
            if all([await m.is_ready() for m in self.machines]):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def request(self, machine, method, path, deadline_ms, body=b"", extra=None):
        """One request on a new connection to the machine's own node; returns the status, or "lost"."""
        self.count += 1
        request = f"{machine.name}-{self.count}"
        sent_at = self.record.now()
        self.record.write(f"sent {request} {method} {path} to {machine.name}")
        answer = await call(machine.caller, method, path,
                            {"Host": "a.example", "Request-Id": request, "Deadline-Ms": str(deadline_ms),
                             **(extra or {})}, body, deadline_ms / 1000 + 0.5)
        status = answer.status if answer else "lost"
        self.record.write(f"answered {request} {status}")
        self.answers[request] = (sent_at, status)
        return status

    async def traffic(self, machine, method, path, deadline_ms, pause, until):
        """Sends requests until the given time of the record, while the machine's node is ready."""
        while self.record.now() < until:
            self.spawn(self.request(machine, method, path, deadline_ms, b"x" if method == "POST" else b""))
            await asyncio.sleep(pause)

    async def end(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(fleet_of, play):
    """fleet_of() makes the fleet; play(fleet) returns the problems that were found. Exits as the review's scripts do."""
    async def run():
        fleet = fleet_of()
        try:
            await fleet.start()
            problems = await asyncio.wait_for(play(fleet), 100)
        finally:
            await fleet.end()
        for problem in problems:
            fleet.record.write(f"broken: {problem}")
            print(f"broken: {problem}")
        fleet.record.write("result: " + ("broken" if problems else "held"))
        return EXIT_BROKEN if problems else EXIT_HELD

    try:
        code = asyncio.run(run())
    except Exception as error:  # Whatever keeps the case from running.
        print(f"not run: {error!r}")
        code = EXIT_NOT_RUN
    raise SystemExit(code)
