"""Stand-ins of the platform's store and of upstreams for the soak, written from the users' protocol pages."""
import asyncio
import base64
import copy
import json
import time
import urllib.parse

from wire import call, encode, read_message


class Store:
    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted = 0
        self.leases = {}
        self.next_lease = 1
        self.refuse = False
        self.lose_answers = 0.0
        self.random = None
        self.changed = asyncio.Event()
        self.address = None
        self.era = 1
        self.states_era = True

    async def start(self, random):
        self.random = random
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()

    def put(self, key, text, lease=0):
        self._change(key, base64.b64encode(text.encode()).decode(), lease)

    def revoke(self):
        self.leases.clear()
        self._expire()

    def compact(self):
        self.history.clear()
        self.revision += 1
        self.compacted = self.revision

    def copy(self):
        return copy.deepcopy((self.items, self.revision, self.leases, self.next_lease))

    def restore(self, earlier):
        """Goes back to what copy() returned. What was acknowledged since is gone, revisions are given out again."""
        self.items, self.revision, self.leases, self.next_lease = copy.deepcopy(earlier)
        self.history.clear()
        self.compacted = self.revision
        self.era += 1

    def _change(self, key, value, lease):
        self.revision += 1
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        self.leases = {k: v for k, v in self.leases.items() if v[0] > now}
        for key in [k for k, v in self.items.items() if v["lease"] and v["lease"] not in self.leases]:
            del self.items[key]
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.set()
            self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, body = (503, {}) if self.refuse else await self._answer(message)
                is_write = message.start.startswith(("POST /kv-txn", "POST /kv-lease"))
                if is_write and self.random.random() < self.lose_answers:
                    break
                headers = {"Store-Era": self.era} if self.states_era else {}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, json.dumps(body).encode()))
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
            items = [v for k, v in sorted(self.items.items()) if k.startswith(query["prefix"])]
            return 200, {"items": items, "has_more": False, "at": self.revision}
        if path == "/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            seconds = float(body["ttl_time"].removesuffix("ms")) / 1000
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": lease, "ttl_time": body["ttl_time"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[lease]
            self._expire()
            return 200, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_time": f"{int(seconds * 1000)}ms"}

    async def _watch(self, prefix, after, seconds):
        end = time.monotonic() + seconds
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self._expire()

    def _transact(self, body):
        for row in body.get("expected_rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            self._change(put["key"], put["value"], put["lease"])
        return 200, {"revision": self.revision}


class Upstream:
    """Runs requests and reports itself to its node. One incarnation at a time."""

    def __init__(self, name, service, random, ran):
        self.name = name
        self.service = service
        self.random = random
        self.ran = ran  # Request id -> list of (service, time).
        self.incarnation = 0
        self.state = "ready"
        self.acknowledged_leaving = None
        self.late_deliveries = []
        self.sequence = 0
        self.address = None
        self.reported_address = None
        self.announce = None
        self.slow = False
        self.held = None  # While it is an event that is not set, requests wait for it.
        self.slots = 6
        self.lose = 0.0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_leaving = None

    @property
    def id(self):
        return f"i-{self.name}-{self.incarnation}"

    async def report(self):
        while True:
            self.sequence += 1
            state, upstream_id = self.state, self.id
            body = {"service": self.service, "address": "%s:%d" % self.reported_address, "zone": "z",
                    "version": "v1", "slots": self.slots, "state": state, "cold_remaining": "0ms",
                    "sequence": self.sequence, "born": self.born}
            answer = await call(self.announce, "POST", f"/rpc?call=instances.heartbeat&of={upstream_id}",
                                {"Host": "n"}, json.dumps(body).encode(), 1.0)
            acknowledged = answer is not None and " 200 " in answer.start
            if acknowledged and state == "draining" and upstream_id == self.id and not self.acknowledged_leaving:
                self.acknowledged_leaving = time.monotonic()
            await asyncio.sleep(0.4)

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                writer.write(await self._run(message))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def _run(self, message):
        request = message.get("request-id")
        if message.get("expected-instance") != self.id:
            return encode("HTTP/1.1 421 X", {"Request-Id": request, "Instance-Id": self.id})
        if self.acknowledged_leaving and time.monotonic() - self.acknowledged_leaving > 2.5:
            self.late_deliveries.append(request)
        self.ran.setdefault(request, []).append((self.service, time.monotonic()))
        await asyncio.sleep(0.4 if self.slow else 0.02)
        if self.held:
            await self.held.wait()
        if self.random.random() < self.lose:
            raise ConnectionResetError("answer lost")
        return encode("HTTP/1.1 200 OK", {"Request-Id": request, "Server-Signature": self.name},
                      f"{request} by {self.service}".encode() * 20)
